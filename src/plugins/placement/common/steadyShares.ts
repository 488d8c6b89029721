/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Shares of one region that hold still while every region can bear what they send it. Load: the demand of the regions swings,
 * each at another time, while their sum is steady. Shares that follow the present demand move objects all the time, and each
 * move is a cache miss, which takes several times the work of a cache hit.
 *
 * The plan is made from the demand averaged over a minute. Objects move only when a region's expected utilization is above
 * what callers bear, and return only after the need has been gone for longer than two cache misses are worth.
 */

import type { Millis } from '../../../base/clock.js';
import { movedFraction, planShares, type RegionCapacity, type RegionShares, shareOf } from './regionShares.js';

/** Time constant of the average demand: with a shorter one the plan would follow swings of half a minute. */
const DEMAND_TIME_CONSTANT_MS = 60000;
/**
 * Weight of equal demand in a young average. Instances start at any point of a swing; without it those that have just started
 * would plan by the present demand, and send objects elsewhere than the others do.
 */
const EQUAL_DEMAND_MS = 10000;
/**
 * Utilization by cache hits that a region can bear: the rest of its slots remains for cache misses and for targets that
 * have more objects than others. With a lower one regions at the top of their swing would hand objects to each other by turns.
 */
const BEARABLE_UTILIZATION = 0.75;
/**
 * No region is relieved below this factor of the mean utilization: near a shortage all regions are above what callers bear, and
 * what one of them gives away makes cache misses in the others.
 */
const MIN_RELATIVE_LIMIT = 1.35;
/** The same for large responses, which cost more to transfer between regions than to wait for. */
const MIN_RELATIVE_LIMIT_LARGE_RESPONSES = 2.5;
/** Longer times without news of demand don't count, so that an average does not jump after them. */
const MAX_REPORT_GAP_MS = 2000;
/** Smaller differences from the plan are not worth their cache misses. */
const MIN_MOVED = 0.1;
/**
 * Time without need after which objects return: as long as the way to another region takes to add up to the two cache misses
 * of a move there and back, for an object that is requested every other second.
 */
const RETURN_AFTER_MS = 45000;
/**
 * Nothing is moved for need in the first seconds: the first requests of a service are all cache misses, so that the work
 * of cache hits is not known yet.
 */
const WARM_UP_MS = 6000;
/** A region that loses more than this fraction of its slots makes a new plan; smaller losses are left to relief by need. */
const MIN_LOST_SLOTS = 0.2;
/** Time after such a loss before objects return: targets that restart by turns must not take their objects with them. */
const RETURN_AFTER_LOSS_MS = 10000;

type Capacities = ReadonlyMap<string, RegionCapacity>;

/** The shares of one region's requests to one service. */
export class SteadyShares {
	private readonly _averageDemand = new Map<string, number>();
	private _demand: ReadonlyMap<string, number | undefined> = new Map();
	private _demandSince: Millis | undefined;
	private _demandAt = Number.POSITIVE_INFINITY;
	private _held: RegionShares = [];
	/** Slots by region when the held shares were planned. */
	private _heldSlots: ReadonlyMap<string, number> = new Map();
	private _latestSlots: ReadonlyMap<string, number> = new Map();
	/** Objects return to the plan from then on. */
	private _returnAt = Number.NEGATIVE_INFINITY;

	/**
	 * @param _own the region of the callers
	 * @param _isLarge whether the responses are large
	 */
	constructor(
		private readonly _own: string,
		private readonly _isLarge: boolean
	) {}

	/** Returns the shares for the present capacities; empty if no region has slots. */
	update(capacities: Capacities, now: Millis): RegionShares {
		this._updateAverage(capacities, now);
		const average: Capacities = new Map(
			[...capacities].map(([region, { slots }]) => [region, { slots, demand: this._averageDemand.get(region) }])
		);
		const plan = planShares(this._own, average, this._isLarge);
		if (plan.length === 0 || this._held.length === 0 || this._isWarmingUp(now)) {
			this._hold(plan, capacities);
			return plan;
		}
		if (hasLostSlots(this._heldSlots, capacities)) {
			this._hold(plan, capacities);
		}
		if (hasLostSlots(this._latestSlots, capacities)) {
			this._returnAt = Math.max(this._returnAt, now + RETURN_AFTER_LOSS_MS);
		}
		this._latestSlots = slotsByRegion(capacities);
		const others = new Map(
			[...capacities.keys()]
				.filter(region => region !== this._own)
				.map(region => [region, planShares(region, average, this._isLarge)])
		);
		const relativeLimit = this._isLarge ? MIN_RELATIVE_LIMIT_LARGE_RESPONSES : MIN_RELATIVE_LIMIT;
		const loads = (own: RegionShares): ExpectedLoads =>
			new ExpectedLoads(this._own, own, others, capacities, relativeLimit);
		if (loads(plan).isOverloaded) {
			this._returnAt = now + RETURN_AFTER_MS;
		}
		if (now >= this._returnAt && movedFraction(this._held, plan) > MIN_MOVED) {
			this._hold(plan, capacities);
		}
		this._held = loads(this._held).relieve();
		return this._held;
	}

	private _isWarmingUp(now: Millis): boolean {
		return now - (this._demandSince ?? now) < WARM_UP_MS;
	}

	private _hold(shares: RegionShares, capacities: Capacities): void {
		this._held = shares;
		this._heldSlots = slotsByRegion(capacities);
	}

	/** Adds the present demand to the average. A demand that is exactly as before was not reported anew, as without control. */
	private _updateAverage(capacities: Capacities, now: Millis): void {
		const isNew = [...capacities].some(([region, { demand }]) => demand !== this._demand.get(region));
		if (!isNew) {
			return;
		}
		this._demand = new Map([...capacities].map(([region, { demand }]) => [region, demand]));
		const demands = [...this._demand.values()].filter(demand => demand !== undefined);
		const mean = demands.reduce((sum, demand) => sum + demand, 0) / demands.length;
		this._demandSince ??= now;
		// A young average is the plain mean of equal demand and what was reported so far.
		const spanMs = Math.min(DEMAND_TIME_CONSTANT_MS, EQUAL_DEMAND_MS + now - this._demandSince);
		const elapsedMs = Math.min(MAX_REPORT_GAP_MS, Math.max(0, now - this._demandAt));
		const weight = elapsedMs / spanMs;
		this._demandAt = now;
		for (const [region, demand] of this._demand) {
			const average = this._averageDemand.get(region) ?? mean;
			if (demand !== undefined) {
				this._averageDemand.set(region, average + weight * (demand - average));
			}
		}
	}
}

function slotsByRegion(capacities: Capacities): ReadonlyMap<string, number> {
	return new Map([...capacities].map(([region, { slots }]) => [region, slots]));
}

/** Whether a region has lost more slots than the others are left to relieve by need. */
function hasLostSlots(before: ReadonlyMap<string, number>, capacities: Capacities): boolean {
	const slotsOf = (region: string): number => capacities.get(region)?.slots ?? 0;
	return [...before].some(([region, slots]) => slotsOf(region) < (1 - MIN_LOST_SLOTS) * slots);
}

/** Expected work of cache hits of the regions under given shares. */
class ExpectedLoads {
	private readonly _loads: ReadonlyMap<string, number>;
	private readonly _limit: number;

	/**
	 * @param _shares shares of the own region
	 * @param others planned shares of the other regions
	 * @param relativeLimit least limit of the utilization, relative to the mean of all regions
	 */
	constructor(
		private readonly _own: string,
		private readonly _shares: RegionShares,
		others: ReadonlyMap<string, RegionShares>,
		private readonly _capacities: Capacities,
		relativeLimit: number
	) {
		const sharesOf = (region: string): RegionShares => (region === _own ? _shares : (others.get(region) ?? []));
		const loadOf = (region: string): number =>
			[..._capacities].reduce((sum, [from, { demand }]) => sum + (demand ?? 0) * shareOf(sharesOf(from), region), 0);
		this._loads = new Map([..._capacities.keys()].map(region => [region, loadOf(region)]));
		const slots = [..._capacities.values()].reduce((sum, capacity) => sum + capacity.slots, 0);
		const load = [...this._loads.values()].reduce((sum, value) => sum + value, 0);
		this._limit = Math.max(BEARABLE_UTILIZATION, (relativeLimit * load) / Math.max(slots, Number.EPSILON));
	}

	/** Whether a region that the own shares use is expected to have more than it can bear. */
	get isOverloaded(): boolean {
		return this._shares.some(({ region, share }) => share > 0 && this._excess(region) > 0);
	}

	/** Returns the own shares with their part of what is too much moved to regions with spare capacity; the same if there is none. */
	relieve(): RegionShares {
		const ownDemand = this._capacities.get(this._own)?.demand ?? 0;
		const removedOf = (region: string, share: number): number =>
			share * (Math.max(0, this._excess(region)) / Math.max(this._loads.get(region) ?? 0, Number.EPSILON));
		const removed = this._shares.reduce((sum, { region, share }) => sum + removedOf(region, share), 0);
		const spareSlots = new Map(
			[...this._capacities.keys()].map(region => [region, Math.max(0, -this._excess(region))])
		);
		const spare = [...spareSlots.values()].reduce((sum, value) => sum + value, 0);
		if (removed < 1e-6 || ownDemand === 0 || spare === 0) {
			return this._shares;
		}
		const moved = Math.min(1, spare / (removed * ownDemand));
		const regions = [...new Set([...this._shares.map(({ region }) => region), ...spareSlots.keys()])];
		return regions.map(region => {
			const share = shareOf(this._shares, region);
			const received = (removed * moved * (spareSlots.get(region) ?? 0)) / spare;
			return { region, share: share - moved * removedOf(region, share) + received };
		});
	}

	/** Work above what the region can bear; negative for spare capacity. */
	private _excess(region: string): number {
		return (this._loads.get(region) ?? 0) - this._limit * (this._capacities.get(region)?.slots ?? 0);
	}
}
