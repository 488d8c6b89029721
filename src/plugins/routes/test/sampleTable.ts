/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A valid route table for tests to modify. */

import { RepeatRule, type Route, type RouteTable, type Team } from '../common/routeTable.js';

/** A route that needs a key. */
export const SAMPLE_ROUTE: Route = {
	name: 'r',
	host: 'shop.example',
	pathPrefix: '/a/',
	repeatRule: RepeatRule.Repeatable,
	timeoutMs: 1000,
	objectiveMs: 100,
	rank: 1,
	parts: [{ service: 's', weight: 1 }],
	attempts: 2,
	isSticky: false,
	homeRegions: [],
	isPublic: false
};

/** A table with one service, `s`. */
export function sampleTable(routes: readonly Route[], teams?: readonly Team[]): RouteTable {
	return {
		version: 1,
		routes,
		services: [{ name: 's', healthPath: '/health', maxConnections: 10, coldStartMs: 0, coldPerSecond: 1 }],
		teams,
		limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
	};
}
