/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The versioned table of routes, services, teams and limits that operators publish. */

import type { Millis } from '../../../base/clock.js';

/** Whether a request may be retried when its outcome is unknown. */
export enum RepeatRule {
	/** The request is idempotent and may run more than once. */
	Repeatable = 'repeatable',
	/** Each attempt of a caller runs at most once. */
	AtMostOnce = 'at-most-once',
	/** As `Repeatable`, with large responses. */
	LargeResponse = 'large-answer'
}

/** A service that receives a share of a route's requests. */
export interface WeightedService {
	readonly service: string;
	/** Relative to the other services of the route; 0 or more. */
	readonly weight: number;
}

/** A route: the requests it matches and how they are served. */
export interface Route {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly repeatRule: RepeatRule;
	/** Maximum time from arrival of a request to its response. */
	readonly timeoutMs: Millis;
	/** Latency objective for responses. */
	readonly objectiveMs: Millis;
	/** Priority; 0 is the highest. */
	readonly rank: number;
	/** Services that share the requests; at least one. */
	readonly parts: readonly WeightedService[];
	/** Maximum number of targets that one request may be sent to. */
	readonly attempts: number;
	/** Whether requests for an object prefer a target that served it recently, which answers faster. */
	readonly isSticky: boolean;
	/** Regions in which its requests may be served; empty for any. */
	readonly homeRegions: readonly string[];
	/** Whether requests are accepted without a team key. */
	readonly isPublic: boolean;
}

/** Rate limit of a team over all instances together. */
export interface TeamLimit {
	/** Requests per second, more than 0. */
	readonly perSecond: number;
	/** Requests that may exceed the rate at once. */
	readonly burst: number;
}

/** A team, identified by any of its keys. */
export interface Team {
	readonly name: string;
	/** Digests of its keys, by `digestKey`; the table does not hold the keys themselves. */
	readonly keyDigests: readonly string[];
	/** Priority; 0 is the highest. It takes precedence over the rank of the route. */
	readonly rank: number;
	/** Undefined for no limit. */
	readonly limit: TeamLimit | undefined;
	/** Regions in which its requests may be served; empty for any. */
	readonly homeRegions: readonly string[];
}

/** A service and the properties of its targets. */
export interface ServiceDefinition {
	readonly name: string;
	readonly healthPath: string;
	/** Maximum number of connections to a target, from all instances together. */
	readonly maxConnections: number;
	/** How long a target is cold after its start, with reduced capacity. */
	readonly coldStartMs: Millis;
	/** Requests per second that a cold target can serve. */
	readonly coldPerSecond: number;
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: Millis;
	readonly idleTimeoutMs: Millis;
}

/** The document that operators publish as a whole. */
export interface RouteTable {
	/** Increases with each published table. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly ServiceDefinition[];
	/** Undefined when requests need no key. */
	readonly teams: readonly Team[] | undefined;
	readonly limits: CallerLimits;
}
