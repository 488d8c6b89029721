/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Divides the capacity of a service among ranks, and within each rank among teams. */

import { compareRanks, type RequestRank } from './requestRank.js';

/** Requests of one rank and one team. */
export interface DemandGroup {
	readonly rank: RequestRank;
	/** Requests per second, more than 0. */
	readonly demand: number;
	/** Weight of the team among others of its rank, more than 0. */
	readonly weight: number;
}

/**
 * Part of each rank's demand that is admitted before the ranks above it are served in full, relative to the part that all ranks
 * would get if they counted alike. Callers that are never answered take the service for broken: they repeat at once or turn
 * away, and nothing more is learned about their requests. With a third of an equal part they see a slow service.
 */
const BASE_FRACTION = 0.3;
/** Maximum of that part for each rank, as a fraction of the capacity: a flood of one rank does not displace the ranks above it. */
const MAX_BASE_CAPACITY_FRACTION = 0.1;

/** Relative rounding error up to which a rank counts as served in full. */
const ROUNDING = 1e-9;

/**
 * Divides a capacity, in requests per second: first a base part for each rank, then by rank, and within each rank in max-min fair
 * shares by weight. Capacity that a rank or team does not use goes to the others.
 * @returns the part of its demand that each group gets, 0 to 1, in the order of the groups
 */
export function divideCapacity(groups: readonly DemandGroup[], capacity: number): number[] {
	const total = sum(groups);
	if (total <= capacity) {
		return groups.map(() => 1);
	}
	const parts = new Map<DemandGroup, number>();
	const ranks = groupByRank(groups);
	const baseRatio = (BASE_FRACTION * capacity) / total;
	const bases = ranks.map(members => Math.min(sum(members) * baseRatio, MAX_BASE_CAPACITY_FRACTION * capacity));
	let left = capacity - bases.reduce((a, b) => a + b, 0);
	ranks.forEach((members, i) => {
		const base = bases[i]!;
		const extra = Math.min(left, sum(members) - base);
		left -= extra;
		divideByWeight(members, base + extra, parts);
	});
	return groups.map(group => parts.get(group)!);
}

function sum(groups: readonly DemandGroup[]): number {
	return groups.reduce((total, { demand }) => total + demand, 0);
}

/** The groups of each rank, the highest rank first. */
function groupByRank(groups: readonly DemandGroup[]): DemandGroup[][] {
	const ranks: DemandGroup[][] = [];
	for (const group of [...groups].sort((a, b) => compareRanks(a.rank, b.rank))) {
		const last = ranks.at(-1);
		if (last && compareRanks(last[0]!.rank, group.rank) === 0) {
			last.push(group);
		} else {
			ranks.push([group]);
		}
	}
	return ranks;
}

/** Max-min fair shares: a group gets its demand, or the same amount per weight as all other groups that don't. */
function divideByWeight(members: DemandGroup[], capacity: number, parts: Map<DemandGroup, number>): void {
	if (capacity >= sum(members) * (1 - ROUNDING)) {
		members.forEach(group => parts.set(group, 1));
		return;
	}
	let left = capacity;
	let weightLeft = members.reduce((total, { weight }) => total + weight, 0);
	for (const group of members.sort((a, b) => a.demand / a.weight - b.demand / b.weight)) {
		const granted = Math.min(group.demand, (left * group.weight) / weightLeft);
		parts.set(group, granted >= group.demand ? 1 : granted / group.demand);
		left -= granted;
		weightLeft -= group.weight;
	}
}
