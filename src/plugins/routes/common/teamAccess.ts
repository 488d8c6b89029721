/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Authorizes requests by team key, and determines the regions in which they may be served. */

import { RefusalReason } from '../../../base/verdict.js';
import type { RouteIndex } from './routeIndex.js';
import type { Route, Team } from './routeTable.js';

/** The request may be served. */
export interface GrantedAccess {
	readonly isGranted: true;
	/** Team of the key; undefined when no team is identified. */
	readonly team: Team | undefined;
	/** Regions in which the request may be served; empty for any. */
	readonly homeRegions: readonly string[];
}

/** The request is refused. */
export interface DeniedAccess {
	readonly isGranted: false;
	readonly reason: RefusalReason.UnknownKey | RefusalReason.NoHomeRegion;
}

/**
 * Checks a request against the given table.
 * @param keyDigest digest of the caller's key; undefined for none
 */
export function checkAccess(
	routes: RouteIndex,
	route: Route,
	keyDigest: string | undefined
): GrantedAccess | DeniedAccess {
	const team = keyDigest === undefined ? undefined : routes.teams?.findTeam(keyDigest);
	if (routes.teams && !route.isPublic && !team) {
		return { isGranted: false, reason: RefusalReason.UnknownKey };
	}
	const homeRegions = intersectRegions(route.homeRegions, team?.homeRegions ?? []);
	return homeRegions
		? { isGranted: true, team, homeRegions }
		: { isGranted: false, reason: RefusalReason.NoHomeRegion };
}

/** Regions in both lists, where an empty list allows any region; undefined when there are none. */
function intersectRegions(first: readonly string[], second: readonly string[]): readonly string[] | undefined {
	if (first.length === 0 || second.length === 0) {
		return first.length === 0 ? second : first;
	}
	const common = first.filter(region => second.includes(region));
	return common.length > 0 ? common : undefined;
}
