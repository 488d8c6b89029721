/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The route table of the simulation. */

import { RepeatRule, type Route, type RouteTable } from '../../routes/common/routeTable.js';

/** Services of routes, with their weights, by path prefix. */
export type RouteParts = Readonly<Record<string, Route['parts']>>;

/** Returns a route table. */
export function describeTable(version: number, serviceNames: readonly string[], parts: RouteParts): RouteTable {
	const services = serviceNames.map(name => ({
		name,
		healthPath: '/health',
		maxConnections: 100,
		coldStartMs: 0,
		coldPerSecond: 5
	}));
	const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
	return { version, routes: describeRoutes(parts), services, teams: undefined, limits };
}

/** Returns the routes, which are named by their path prefixes. */
export function describeRoutes(parts: RouteParts): Route[] {
	return Object.entries(parts).map(([pathPrefix, routeParts]) => ({
		name: pathPrefix,
		host: 'h',
		pathPrefix,
		repeatRule: RepeatRule.AtMostOnce,
		timeoutMs: 5000,
		objectiveMs: 800,
		rank: 1,
		parts: routeParts,
		attempts: 2,
		isSticky: true,
		homeRegions: [],
		isPublic: true
	}));
}
