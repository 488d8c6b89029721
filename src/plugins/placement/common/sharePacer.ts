/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Moves the shares of one route's requests gradually towards a plan. The plan changes at once when targets, demand or routes
 * change, but requests that change their region reach targets that have not cached their objects.
 */

import type { Millis } from '../../../base/clock.js';
import { BackingSlots, type SlotsByRegion } from './backingSlots.js';
import { movedFraction, type RegionShare, type RegionShares, shareOf, totalShare } from './regionShares.js';
import { RunningMix } from './runningMix.js';

/** Limits how fast requests may move to other regions. */
export interface ShiftBounds {
	/** Maximum fraction of a region's requests that change their region between one window and the next, 0 to 1. */
	readonly maxMovedFraction: number;
	readonly windowMs: Millis;
}

/** The planned shares of a route's requests, with the state of the regions that they are based on. */
export interface DesiredShares {
	readonly shares: RegionShares;
	/** Fraction of its requests that each overloaded region rejects, 0 to 1. */
	readonly rejectionRates: ReadonlyMap<string, number>;
	/** The same without regions that have too few requests for a rate that is not due to chance. */
	readonly reliableRejectionRates: ReadonlyMap<string, number>;
	/** Slots of targets that are not lost, by region; 0 for a region without any. */
	readonly availableSlots: SlotsByRegion;
	/** Slots of targets that are not cold, by their speed where it is known, by region. */
	readonly slots: SlotsByRegion;
	/** Share that the own region would keep if all regions had equal demand; above it, its share rises more slowly. */
	readonly evenDemandOwnShare: number;
}

/** A change of the shares that is exempt from the shift bounds because it moves requests off lost targets. */
export interface ShareJump {
	readonly from: RegionShares;
	readonly to: RegionShares;
	/** Fraction of the objects that changed their region, 0 to 1. */
	readonly moved: number;
	/** Fraction of the slots it relied on that each region lost. */
	readonly lost: Readonly<Record<string, number>>;
	/** Slots of available targets by region. */
	readonly slots: Readonly<Record<string, number>>;
}

/**
 * Fraction of the shift bound that shares use. Spilled requests use another part (`SpillAllowance`); the rest is a margin for
 * random variation, since some objects are requested more often than others.
 */
const SHIFT_BUDGET_FRACTION = 0.55;

/**
 * Fraction of the rate at which the own region's share rises above its equal-demand share. Otherwise a region with few targets
 * and fluctuating demand would take most objects while demand is low and be overloaded when it rises again.
 */
const SLOW_INCREASE_FACTOR = 0.2;

const NO_LOSSES: ReadonlyMap<string, number> = new Map();

/** The shares of one route's requests to one of its services. */
export class SharePacer {
	/** Fraction of the objects that may change their region per millisecond. */
	private readonly _maxMovedPerMs: number;
	private _shares: RegionShares;
	private _updatedAt: Millis | undefined;
	private readonly _backingSlots = new BackingSlots();
	private readonly _runningMix: RunningMix;

	/** @param initialShares shares that the requests have had so far; empty for a new route */
	constructor(
		private readonly _bounds: ShiftBounds,
		initialShares: RegionShares = []
	) {
		this._maxMovedPerMs = (SHIFT_BUDGET_FRACTION * _bounds.maxMovedFraction) / _bounds.windowMs;
		this._runningMix = new RunningMix(_bounds.maxMovedFraction, _bounds.windowMs);
		this._shares = initialShares;
	}

	get shares(): RegionShares {
		return this._shares;
	}

	/**
	 * Moves the shares towards the desired ones. Shares of lost targets move at once; all other changes, including the return
	 * to recovered targets, keep to the shift bounds, together with what rejections move.
	 * @returns the change, if it includes shares of lost targets; undefined otherwise
	 */
	update(desired: DesiredShares, now: Millis): ShareJump | undefined {
		if (desired.shares.length === 0) {
			return undefined;
		}
		const from = this._shares;
		const isNew = from.length === 0;
		const elapsedMs = now - (this._updatedAt ?? now);
		this._updatedAt = now;
		const lost = isNew ? NO_LOSSES : this._backingSlots.lostFractions(desired.availableSlots);
		const base = isNew
			? limitOwnIncrease([], desired.shares, desired, 0)
			: this._withdrawFromLostTargets(desired, lost);
		const isJump = !isNew && base !== from;
		if (isJump) {
			this._runningMix.clear();
		}
		const maxMoved = this._maxMoved(base, desired, elapsedMs, now);
		this._shares = moveTowards(
			base,
			limitOwnIncrease(base, reduceRejectingRegions(base, desired), desired, maxMoved),
			maxMoved
		);
		this._runningMix.record(this._shares, desired.reliableRejectionRates, now);
		this._backingSlots.update(base, this._shares, desired.availableSlots, maxMoved, elapsedMs);
		if (!isJump) {
			return undefined;
		}
		return {
			from,
			to: this._shares,
			moved: movedFraction(from, this._shares),
			lost: Object.fromEntries(lost),
			slots: Object.fromEntries(desired.availableSlots)
		};
	}

	/** Fraction of the objects that may change their region now, by the pace and by what rejections have moved already. */
	private _maxMoved(shares: RegionShares, desired: DesiredShares, elapsedMs: Millis, now: Millis): number {
		// After a pause, no more than the moves of one window may be made at once.
		const pacedFraction = this._maxMovedPerMs * Math.min(elapsedMs, this._bounds.windowMs);
		return Math.min(pacedFraction, this._runningMix.movableFraction(shares, desired.reliableRejectionRates, now));
	}

	/** Returns the shares after redistributing those that relied on targets lost since the last update. */
	private _withdrawFromLostTargets(desired: DesiredShares, lost: ReadonlyMap<string, number>): RegionShares {
		const remaining = this._shares.map(({ region, share }) => ({
			region,
			share: Math.min(share, Math.max(share * (1 - (lost.get(region) ?? 0)), shareOf(desired.shares, region)))
		}));
		lost.forEach((_, region) => this._backingSlots.recordWithdrawal(region, desired.availableSlots.get(region) ?? 0));
		const freed = 1 - totalShare(remaining);
		if (freed < 1e-9) {
			return this._shares;
		}
		const hasLost = (region: string): boolean => lost.has(region);
		return (
			redistribute(remaining, freed, desired, hasLost) ??
			redistribute(remaining, freed, { ...desired, rejectionRates: new Map() }) ??
			desired.shares
		);
	}
}

/** Returns the desired shares, with those of overloaded regions reduced by the fraction of requests that they reject. */
function reduceRejectingRegions(shares: RegionShares, desired: DesiredShares): RegionShares {
	if (desired.rejectionRates.size === 0) {
		return desired.shares;
	}
	const cappedShare = ({ region, share }: RegionShare): number => {
		const rejectionRate = desired.rejectionRates.get(region);
		return rejectionRate === undefined ? share : Math.min(share, shareOf(shares, region) * (1 - rejectionRate));
	};
	const capped = desired.shares.map(share => ({ region: share.region, share: cappedShare(share) }));
	return redistribute(capped, 1 - totalShare(capped), desired) ?? desired.shares;
}

/**
 * Slows the rise of the own region's share above its equal-demand share. While demand is low, the region could serve nearly
 * all of its callers, but when demand returns, the shift bounds would keep their objects there for too long.
 */
function limitOwnIncrease(
	from: RegionShares,
	to: RegionShares,
	desired: DesiredShares,
	maxMoved: number
): RegionShares {
	const own = to[0]!;
	const maxOwnShare = Math.max(desired.evenDemandOwnShare, shareOf(from, own.region) + SLOW_INCREASE_FACTOR * maxMoved);
	if (own.share <= maxOwnShare || own.share <= shareOf(from, own.region)) {
		return to;
	}
	const capped = to.map(({ region, share }, i) => ({ region, share: i === 0 ? maxOwnShare : share }));
	const withoutOwn = { ...desired, rejectionRates: new Map([...desired.rejectionRates, [own.region, 0] as const]) };
	return redistribute(capped, 1 - totalShare(capped), withoutOwn) ?? desired.shares;
}

/**
 * Distributes a freed share among regions that don't reject requests, in proportion to their slots. Returns undefined if there
 * is no such region.
 * @param isExcluded whether a region gets none of it
 */
function redistribute(
	remaining: RegionShares,
	freed: number,
	{ shares, rejectionRates, slots }: DesiredShares,
	isExcluded: (region: string) => boolean = () => false
): RegionShares | undefined {
	const regions = orderedRegions(shares, remaining);
	const receivers = regions.filter(region => !isExcluded(region) && !rejectionRates.has(region));
	const weights = new Map(receivers.map(region => [region, slots.get(region) ?? 0]));
	const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
	if (total === 0) {
		return undefined;
	}
	return regions.map(region => ({
		region,
		share: shareOf(remaining, region) + (freed * (weights.get(region) ?? 0)) / total
	}));
}

/** Returns shares between two sets, at most the given fraction of all objects away from the first. */
function moveTowards(from: RegionShares, to: RegionShares, maxMoved: number): RegionShares {
	const moved = movedFraction(from, to);
	if (moved <= maxMoved) {
		return to;
	}
	const fraction = maxMoved / moved;
	const regions = orderedRegions(to, from);
	return regions.map(region => {
		const current = shareOf(from, region);
		return { region, share: current + (shareOf(to, region) - current) * fraction };
	});
}

/** Returns the regions of two sets of shares in the order in which positions are assigned: the own one first, then by name. */
function orderedRegions(plan: RegionShares, others: RegionShares): string[] {
	const own = plan[0]!.region;
	const rest = new Set([...plan, ...others].map(({ region }) => region));
	rest.delete(own);
	return [own, ...[...rest].sort()];
}
