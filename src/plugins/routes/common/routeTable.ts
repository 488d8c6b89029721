/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The routes, services and limits that operators publish as one versioned table. */

import type { Millis } from '../../../base/clock.js';

/** What may be done with a request of a route when its outcome is in doubt. */
export enum RepeatRule {
	/** It may run more than once. */
	Repeatable = 'repeatable',
	/** It runs at most once for each try of a caller. */
	AtMostOnce = 'at-most-once',
	/** As `Repeatable`, with large answers. */
	LargeAnswer = 'large-answer'
}

/** One of the services among which a route's requests are divided. */
export interface RoutePart {
	readonly service: string;
	/** Proportion against the other parts, 0 or more. */
	readonly weight: number;
}

/** One route: which requests it takes and how they are served. */
export interface Route {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly repeatRule: RepeatRule;
	/** Longest that a request is held. */
	readonly timeoutMs: Millis;
	/** Within this time an answer is worth most. */
	readonly objectiveMs: Millis;
	/** 0 is the most urgent. */
	readonly rank: number;
	/** The services, at least one, with their proportions. */
	readonly parts: readonly RoutePart[];
	/** Most targets that one request may be sent to. */
	readonly attempts: number;
	/** Whether a target that has seen an object lately is faster with it. */
	readonly isSticky: boolean;
	/** Regions in which its requests may be served; empty means any. */
	readonly homeRegions: readonly string[];
	/** Whether a request needs no team's key. */
	readonly isPublic: boolean;
}

/** How many requests a team may send, over all instances together. */
export interface TeamLimit {
	/** Requests a second, more than 0. */
	readonly perSecond: number;
	/** Requests beyond the rate that may come at once. */
	readonly burst: number;
}

/** A team: whoever holds one of its keys asks on its behalf. */
export interface Team {
	readonly name: string;
	/** Digests of its keys (`digestKey`); the keys themselves stay with whoever published the table. */
	readonly keyDigests: readonly string[];
	/** 0 is the most urgent; it goes before the rank of the route. */
	readonly rank: number;
	/** Undefined for none. */
	readonly limit: TeamLimit | undefined;
	/** Regions in which its requests may be served; empty means any. */
	readonly homeRegions: readonly string[];
}

/** One service and how its targets are to be treated. */
export interface ServiceDefinition {
	readonly name: string;
	readonly healthPath: string;
	/** Most connections that a target bears, from all instances together. */
	readonly maxConnections: number;
	/** How long a target is cold after its start. */
	readonly coldStartMs: Millis;
	/** Requests a second that a cold target bears. */
	readonly coldPerSecond: number;
}

/** What a caller may send, and for how long a connection may rest. */
export interface CallerLimits {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: Millis;
	readonly idleTimeoutMs: Millis;
}

/** Everything that operators publish at once. */
export interface RouteTable {
	/** Grows with each published table. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly ServiceDefinition[];
	/** The teams; undefined where requests need no key. */
	readonly teams: readonly Team[] | undefined;
	readonly limits: CallerLimits;
}
