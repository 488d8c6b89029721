/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Priority of a request: that of its team, then that of its route. */

import type { Route, Team } from '../../routes/common/routeTable.js';

/** The rank of one request; in both fields 0 is the highest priority. */
export interface RequestRank {
	/** Rank of the team; 0 for requests without a team. */
	readonly team: number;
	readonly route: number;
}

/** The rank of a request of a team on a route. */
export function rankOf(team: Pick<Team, 'rank'> | undefined, route: Pick<Route, 'rank'>): RequestRank {
	return { team: team?.rank ?? 0, route: route.rank };
}

/** Orders ranks by priority, the highest first: the rank of the team decides, then that of the route. */
export function compareRanks(a: RequestRank, b: RequestRank): number {
	return a.team - b.team || a.route - b.route;
}
