/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Whether a request may be served, on behalf of which team, and where. */

import { RefusalReason } from '../../../base/verdict.js';
import type { RouteIndex } from './routeIndex.js';
import type { Route, Team } from './routeTable.js';

/** A request that may be served. */
export interface GrantedAccess {
	readonly isGranted: true;
	/** The team on whose behalf; undefined for nobody's. */
	readonly team: Team | undefined;
	/** Regions in which it may be served; empty means any. */
	readonly homeRegions: readonly string[];
}

/** A request that may not. */
export interface DeniedAccess {
	readonly isGranted: false;
	readonly reason: RefusalReason.UnknownKey | RefusalReason.NoHomeRegion;
}

/**
 * Decides by the table in force.
 * @param keyDigest digest of the key that the caller showed; undefined for none
 */
export function accessOf(
	routes: RouteIndex,
	route: Route,
	keyDigest: string | undefined
): GrantedAccess | DeniedAccess {
	const team = keyDigest === undefined ? undefined : routes.teams?.teamOf(keyDigest);
	if (routes.teams && !route.isPublic && !team) {
		return { isGranted: false, reason: RefusalReason.UnknownKey };
	}
	const homeRegions = commonHomes(route.homeRegions, team?.homeRegions ?? []);
	return homeRegions
		? { isGranted: true, team, homeRegions }
		: { isGranted: false, reason: RefusalReason.NoHomeRegion };
}

/** Regions that both allow, where empty allows any; undefined where they have none in common. */
function commonHomes(first: readonly string[], second: readonly string[]): readonly string[] | undefined {
	if (first.length === 0 || second.length === 0) {
		return first.length === 0 ? second : first;
	}
	const common = first.filter(region => second.includes(region));
	return common.length > 0 ? common : undefined;
}
