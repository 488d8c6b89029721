/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Moves the shares of one route's requests gradually towards a plan. The plan changes at once when targets, demand or routes
 * change, but requests that change their region reach targets that have not cached their objects.
 */

import type { Millis } from '../../../base/clock.js';
import { movedFraction, type RegionShare, type RegionShares, shareOf, totalShare } from './regionShares.js';

/** Limits how fast requests may move to other regions. */
export interface ShiftBounds {
	/** Maximum fraction of a region's requests that change their region between one window and the next, 0 to 1. */
	readonly maxMovedFraction: number;
	readonly windowMs: Millis;
}

/** The planned shares of a route's requests, with the state of the regions that they are based on. */
export interface DesiredShares {
	readonly shares: RegionShares;
	/** Fraction of its slots that each region lost, 0 to 1, 1 if it has none; regions without a significant loss are left out. */
	readonly lostFractions: ReadonlyMap<string, number>;
	/** Fraction of its requests that each overloaded region rejects, 0 to 1. */
	readonly rejectionRates: ReadonlyMap<string, number>;
	/** Slots of available targets, by region. */
	readonly slots: ReadonlyMap<string, number>;
	/** Share that the own region would keep if all regions had equal demand; above it, its share rises more slowly. */
	readonly evenDemandOwnShare: number;
}

/** A change of the shares that is exempt from the shift bounds because it moves requests off lost targets. */
export interface ShareJump {
	readonly from: RegionShares;
	readonly to: RegionShares;
	/** Fraction of the objects that changed their region, 0 to 1. */
	readonly moved: number;
	/** Fraction of its slots that each region lost. */
	readonly lost: Readonly<Record<string, number>>;
	/** Slots of available targets, by region. */
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

/** The shares of one route's requests to one of its services. */
export class SharePacer {
	/** Fraction of the objects that may change their region per millisecond. */
	private readonly _maxMovedPerMs: number;
	private _shares: RegionShares;
	private _updatedAt: Millis | undefined;
	/** Lost fractions by region that the shares already reflect. */
	private _appliedLosses: ReadonlyMap<string, number> = new Map();

	/** @param initialShares shares that the requests have had so far; empty for a new route */
	constructor(
		private readonly _bounds: ShiftBounds,
		initialShares: RegionShares = []
	) {
		this._maxMovedPerMs = (SHIFT_BUDGET_FRACTION * _bounds.maxMovedFraction) / _bounds.windowMs;
		this._shares = initialShares;
	}

	get shares(): RegionShares {
		return this._shares;
	}

	/**
	 * Moves the shares towards the desired ones. Shares of lost targets move at once; all other changes, including the return
	 * to recovered targets, keep to the shift bounds.
	 * @returns the change, if it includes shares of lost targets; undefined otherwise
	 */
	update(desired: DesiredShares, now: Millis): ShareJump | undefined {
		if (desired.shares.length === 0) {
			return undefined;
		}
		const from = this._shares;
		const isNew = from.length === 0;
		// After a pause, no more than the moves of one window may be made at once.
		const elapsedMs = Math.min(now - (this._updatedAt ?? now), this._bounds.windowMs);
		this._updatedAt = now;
		const base = isNew ? limitOwnIncrease([], desired.shares, desired, 0) : this._withdrawFromLostTargets(desired);
		const maxMoved = this._maxMovedPerMs * elapsedMs;
		this._shares = moveTowards(
			base,
			limitOwnIncrease(base, reduceRejectingRegions(base, desired), desired, maxMoved),
			maxMoved
		);
		this._appliedLosses = desired.lostFractions;
		if (isNew || base === from) {
			return undefined;
		}
		return {
			from,
			to: this._shares,
			moved: movedFraction(from, this._shares),
			lost: Object.fromEntries(desired.lostFractions),
			slots: Object.fromEntries(desired.slots)
		};
	}

	/** Returns the shares after redistributing those of targets that were lost since the last update. */
	private _withdrawFromLostTargets(desired: DesiredShares): RegionShares {
		const remaining = this._shares.map(({ region, share }) => ({
			region,
			share: this._remainingShare(region, share, desired)
		}));
		const freed = 1 - totalShare(remaining);
		if (freed < 1e-9) {
			return this._shares;
		}
		return redistribute(remaining, freed, desired);
	}

	private _remainingShare(region: string, share: number, desired: DesiredShares): number {
		const lost = desired.lostFractions.get(region) ?? 0;
		const applied = this._appliedLosses.get(region) ?? 0;
		if (lost <= applied) {
			return share;
		}
		const remaining = (share * (1 - lost)) / (1 - applied);
		return Math.min(share, Math.max(remaining, shareOf(desired.shares, region)));
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
	return redistribute(capped, 1 - totalShare(capped), desired);
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
	return redistribute(capped, 1 - totalShare(capped), withoutOwn);
}

/**
 * Distributes a freed share among regions that neither lost targets nor reject requests, in proportion to their slots.
 * Returns the desired shares if there is no such region.
 */
function redistribute(
	remaining: RegionShares,
	freed: number,
	{ shares, lostFractions, rejectionRates, slots }: DesiredShares
): RegionShares {
	const regions = orderedRegions(shares, remaining);
	const isReceiver = (region: string): boolean =>
		!lostFractions.has(region) && !rejectionRates.has(region) && (slots.get(region) ?? 0) > 0;
	const receivers = regions.filter(isReceiver);
	const weights = new Map(receivers.map(region => [region, slots.get(region)!]));
	const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
	if (total === 0) {
		return shares;
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
