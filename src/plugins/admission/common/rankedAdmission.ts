/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Admission by rank and by shares of teams. Answers loads in which more is asked of a service than its targets can do: surges of one
 * route, one team at several times its usual rate, lost targets.
 */

import type { Millis } from '../../../base/clock.js';
import { AdmittedFraction } from './admittedFraction.js';
import { type DemandGroup, divideCapacity } from './capacityDivision.js';
import { DecayingCount } from './decayingCount.js';
import type { RequestRank } from './requestRank.js';
import type { IShortageAdmission, ShortageDecision, ShortageOutcome, ShortageRequest } from './shortageAdmission.js';

/** Over this time requests are counted; long enough for teams that send a request every few seconds to count. */
const DEMAND_DECAY_MS: Millis = 2000;
/** Interval at which the capacity is divided again. */
const UPDATE_INTERVAL_MS: Millis = 100;
/** Groups with fewer requests per second are forgotten. */
const MIN_DEMAND_PER_SECOND = 0.01;
/** Pools without requests for this long are forgotten. */
const IDLE_POOL_MS: Millis = 60000;
/**
 * Factor on the utilization limits of targets, during a shortage, for groups that get less than they ask for: queues stay short enough
 * that others find capacity at each target, and long enough that no slot waits for work.
 */
const REDUCED_UTILIZATION_FACTOR = 0.8;
/**
 * The same for groups that get all they ask for. As the others keep the queues short, a target that seems to be above its limit is
 * mostly one whose load is not known to the moment.
 */
const RAISED_UTILIZATION_FACTOR = 1.25;

const ADMITTED: ShortageDecision = { kind: 'admit', utilizationFactor: 1 };
const ADMITTED_FIRST: ShortageDecision = { kind: 'admit', utilizationFactor: RAISED_UTILIZATION_FACTOR };
const ADMITTED_REDUCED: ShortageDecision = { kind: 'admit', utilizationFactor: REDUCED_UTILIZATION_FACTOR };

/** Requests of one rank and one team. */
interface Group {
	readonly rank: RequestRank;
	/** Configured rate of the team; undefined for none. */
	teamRate: number | undefined;
	readonly requests: DecayingCount;
	/** Part of its requests that is admitted. */
	ratio: number;
	/** Admissions that it is owed, below 1; spreads them evenly over its requests. */
	credit: number;
	/** Whether another team of its rank is served in full, so that a team that is cut exceeds its share. */
	isOverShare: boolean;
}

/** Requests for one service with the same home regions, which compete for the same targets. */
interface Pool {
	readonly service: string;
	readonly fraction: AdmittedFraction;
	readonly groups: Map<string, Group>;
	updatedAt: Millis;
}

/** Decides by ranks and shares of teams while a service is short of slots, and admits all requests alike otherwise. */
export class RankedAdmission implements IShortageAdmission {
	private readonly _pools = new Map<string, Pool>();

	/** @param _random random numbers in [0, 1) */
	constructor(private readonly _random: () => number = Math.random) {}

	decide(request: ShortageRequest, now: Millis): ShortageDecision {
		const pool = this._poolOf(request, now);
		const group = this._groupOf(pool, request, now);
		const isFirstAttempt = !request.attempts?.length;
		if (isFirstAttempt) {
			group.requests.add(now);
		}
		if (now - pool.updatedAt >= UPDATE_INTERVAL_MS) {
			update(pool, now);
		}
		// Where nobody competes, queues need not be shorter than usual.
		if (pool.fraction.value >= 1 || pool.groups.size === 1) {
			return ADMITTED;
		}
		if (group.ratio >= 1) {
			return ADMITTED_FIRST;
		}
		// A request that was admitted once keeps its place.
		if (isFirstAttempt && !takeCredit(group)) {
			return { kind: 'refuse', cause: group.isOverShare ? 'team-share' : 'rank' };
		}
		return ADMITTED_REDUCED;
	}

	recordOutcome(request: ShortageRequest, outcome: ShortageOutcome, now: Millis): void {
		this._poolOf(request, now).fraction.recordOutcome(outcome, now);
	}

	/** The least part of the demand that is admitted, by service; 1 without a shortage. */
	get fractions(): ReadonlyMap<string, number> {
		const services = new Set([...this._pools.values()].map(({ service }) => service));
		return new Map([...services].map(service => [service, this.fractionOf(service)]));
	}

	/** The least part of the demand for a service that is admitted. */
	fractionOf(service: string): number {
		let least = 1;
		for (const pool of this._pools.values()) {
			least = pool.service === service ? Math.min(least, pool.fraction.value) : least;
		}
		return least;
	}

	private _poolOf({ service, homeRegions = [] }: ShortageRequest, now: Millis): Pool {
		const key = [service, ...homeRegions].join(' ');
		let pool = this._pools.get(key);
		if (!pool) {
			this._forgetIdlePools(now);
			pool = { service, fraction: new AdmittedFraction(now), groups: new Map(), updatedAt: now };
			this._pools.set(key, pool);
		}
		return pool;
	}

	private _groupOf({ groups }: Pool, { rank, teamName, team }: ShortageRequest, now: Millis): Group {
		const key = `${rankKey(rank)} ${teamName ?? ''}`;
		let group = groups.get(key);
		if (!group) {
			const requests = new DecayingCount(DEMAND_DECAY_MS, now);
			// Random, as a rare team is a new group at each of its requests.
			group = { rank, teamRate: undefined, requests, ratio: 1, credit: this._random(), isOverShare: false };
			groups.set(key, group);
		}
		group.teamRate = team?.limit?.perSecond;
		return group;
	}

	/** Services and home regions change with the route table. */
	private _forgetIdlePools(now: Millis): void {
		for (const [key, { updatedAt }] of this._pools) {
			if (now - updatedAt > IDLE_POOL_MS) {
				this._pools.delete(key);
			}
		}
	}
}

function takeCredit(group: Group): boolean {
	group.credit += group.ratio;
	if (group.credit < 1) {
		return false;
	}
	group.credit--;
	return true;
}

function update(pool: Pool, now: Millis): void {
	pool.updatedAt = now;
	pool.fraction.update(now);
	forgetIdle(pool.groups, now);
	const members = [...pool.groups.values()];
	const demands = withWeights(members, now);
	const total = demands.reduce((sum, { demand }) => sum + demand, 0);
	const ratios = divideCapacity(demands, pool.fraction.limit(total, now) ?? total);
	members.forEach((group, i) => (group.ratio = ratios[i]!));
	const ranksWithServedTeam = new Set(members.filter(({ ratio }) => ratio >= 1).map(({ rank }) => rankKey(rank)));
	members.forEach(group => (group.isOverShare = ranksWithServedTeam.has(rankKey(group.rank))));
}

function rankKey({ team, route }: RequestRank): string {
	return `${team} ${route}`;
}

/** The demand of each group. Teams weigh by their configured rates; those without one count as the mean of the others. */
function withWeights(members: readonly Group[], now: Millis): DemandGroup[] {
	const rates = members.flatMap(({ teamRate }) => teamRate ?? []);
	const meanRate = rates.length === 0 ? 1 : rates.reduce((a, b) => a + b, 0) / rates.length;
	return members.map(({ rank, requests, teamRate }) => ({
		rank,
		demand: requests.perSecond(now),
		weight: teamRate ?? meanRate
	}));
}

function forgetIdle(groups: Map<string, Group>, now: Millis): void {
	for (const [key, { requests }] of groups) {
		if (requests.perSecond(now) < MIN_DEMAND_PER_SECOND) {
			groups.delete(key);
		}
	}
}
