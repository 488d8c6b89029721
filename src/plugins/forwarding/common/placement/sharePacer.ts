/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Moves the shares of one route's requests towards a plan. A plan may change in an instant, with what is known of targets,
 * needs and routes; requests that change their region meet targets that have not seen their objects, so they follow slowly.
 */

import type { Millis } from '../../../../base/clock.js';
import { movedPart, type RegionShare, type RegionShares, shareOf, totalOf } from './regionShares.js';

/** How fast the requests of a region's callers may change the region in which they are served. */
export interface ShiftBounds {
	/** Part of a region's requests that may change between one window and the next, 0 to 1. */
	readonly mostMoved: number;
	readonly windowMs: Millis;
}

/** Where a route's requests should go, by what is known now. */
export interface WantedShares {
	readonly shares: RegionShares;
	/** Part of a region's slots that are lost for now, 0 to 1; a region that is not named has lost nothing that counts. */
	readonly lost: ReadonlyMap<string, number>;
	/** Part of its requests that a crowded region can't take, 0 to 1. */
	readonly crowded: ReadonlyMap<string, number>;
	/** Slots of the targets that take work, by region. */
	readonly slots: ReadonlyMap<string, number>;
	/** The share of the own region up to which it rises at the full pace. */
	readonly usualOwn: number;
}

/** A step of the shares that is longer than their pace allows. */
export interface ShareStep {
	readonly from: RegionShares;
	readonly to: RegionShares;
	/** Part of the objects that changed their region, 0 to 1. */
	readonly moved: number;
	/** Regions that lost targets, with the part that is lost. */
	readonly lost: Readonly<Record<string, number>>;
}

/**
 * Part of the allowed moves that shares use. Requests that leave a crowded region use another fifth and what each instance
 * saved up (`SpillAllowance`); the rest is for chance, by which some objects are asked for more often than others.
 */
const USED_PART = 0.55;

/**
 * Part of the pace at which the own region takes more than its usual share: a region with few targets whose callers come in
 * waves would fill them at each ebb, and be too full at the next wave.
 */
const SLOW_RISE = 0.2;

/** The shares of one route's requests to one of its services. */
export class SharePacer {
	/** Part of the objects that may change their region in a millisecond. */
	private readonly _pace: number;
	private _shares: RegionShares;
	private _movedAt: Millis | undefined;
	/** Losses that the shares have followed already. */
	private _followed: ReadonlyMap<string, number> = new Map();

	/** @param start shares that the requests have had so far; empty for requests that are new */
	constructor(
		private readonly _bounds: ShiftBounds,
		start: RegionShares = []
	) {
		this._pace = (USED_PART * _bounds.mostMoved) / _bounds.windowMs;
		this._shares = start;
	}

	/** The shares as they were last worked out. */
	get shares(): RegionShares {
		return this._shares;
	}

	/**
	 * Works the shares out anew. Only targets that are lost let more than the pace move, and no more than went to them; the
	 * way back is paced.
	 * @returns the step, where it was longer than the pace allows
	 */
	follow(wanted: WantedShares, now: Millis): ShareStep | undefined {
		if (wanted.shares.length === 0) {
			return undefined;
		}
		const from = this._shares;
		const isNew = from.length === 0;
		// A rest saves up the moves of one window at most: then the requests are back, and are counted from there.
		const elapsedMs = Math.min(now - (this._movedAt ?? now), this._bounds.windowMs);
		this._movedAt = now;
		const left = isNew ? holdBack([], wanted.shares, wanted, 0) : this._leaveLost(wanted);
		const allowed = this._pace * elapsedMs;
		this._shares = approach(left, holdBack(left, relieve(left, wanted), wanted, allowed), allowed);
		this._followed = wanted.lost;
		if (isNew || left === from) {
			return undefined;
		}
		return { from, to: this._shares, moved: movedPart(from, this._shares), lost: Object.fromEntries(wanted.lost) };
	}

	/** The shares without what went to targets that were lost since the last time. */
	private _leaveLost(wanted: WantedShares): RegionShares {
		const kept = this._shares.map(({ region, share }) => ({ region, share: this._keptOf(region, share, wanted) }));
		const freed = 1 - totalOf(kept);
		if (freed < 1e-9) {
			return this._shares;
		}
		return spread(kept, freed, wanted);
	}

	private _keptOf(region: string, share: number, wanted: WantedShares): number {
		const lost = wanted.lost.get(region) ?? 0;
		const followed = this._followed.get(region) ?? 0;
		if (lost <= followed) {
			return share;
		}
		const kept = (share * (1 - lost)) / (1 - followed);
		return Math.min(share, Math.max(kept, shareOf(wanted.shares, region)));
	}
}

/**
 * What to move towards: the plan, but for crowded regions, which give away what they can't take as long as they are crowded.
 */
function relieve(shares: RegionShares, wanted: WantedShares): RegionShares {
	if (wanted.crowded.size === 0) {
		return wanted.shares;
	}
	const boundOf = ({ region, share }: RegionShare): number => {
		const crowded = wanted.crowded.get(region);
		return crowded === undefined ? share : Math.min(share, shareOf(shares, region) * (1 - crowded));
	};
	const bounded = wanted.shares.map(share => ({ region: share.region, share: boundOf(share) }));
	return spread(bounded, 1 - totalOf(bounded), wanted);
}

/**
 * Lets the own region take more than usual only slowly. While its callers are few it could serve nearly all of them, but when
 * they are back, most would have to move at once to targets that have not seen their objects, and the pace holds them.
 */
function holdBack(from: RegionShares, to: RegionShares, wanted: WantedShares, allowed: number): RegionShares {
	const own = to[0]!;
	const most = Math.max(wanted.usualOwn, shareOf(from, own.region) + SLOW_RISE * allowed);
	if (own.share <= most || own.share <= shareOf(from, own.region)) {
		return to;
	}
	const held = to.map(({ region, share }, i) => ({ region, share: i === 0 ? most : share }));
	const others = { ...wanted, crowded: new Map([...wanted.crowded, [own.region, 0] as const]) };
	return spread(held, 1 - totalOf(held), others);
}

/** Gives freed shares to regions that are neither crowded nor short of targets, in proportion to their slots. */
function spread(kept: RegionShares, freed: number, { shares, lost, crowded, slots }: WantedShares): RegionShares {
	const regions = regionsOf(shares, kept);
	const isTaker = (region: string): boolean =>
		!lost.has(region) && !crowded.has(region) && (slots.get(region) ?? 0) > 0;
	const takers = regions.filter(isTaker);
	const weights = new Map(takers.map(region => [region, slots.get(region)!]));
	const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
	if (total === 0) {
		return shares;
	}
	return regions.map(region => ({
		region,
		share: shareOf(kept, region) + (freed * (weights.get(region) ?? 0)) / total
	}));
}

/** Shares on the way to others, by a part of all objects at most. */
function approach(from: RegionShares, to: RegionShares, allowed: number): RegionShares {
	const moved = movedPart(from, to);
	if (moved <= allowed) {
		return to;
	}
	const part = allowed / moved;
	const regions = regionsOf(to, from);
	return regions.map(region => {
		const current = shareOf(from, region);
		return { region, share: current + (shareOf(to, region) - current) * part };
	});
}

/** The regions of two sets of shares in the order in which objects are laid out: the own one first, then by name. */
function regionsOf(plan: RegionShares, others: RegionShares): string[] {
	const own = plan[0]!.region;
	const rest = new Set([...plan, ...others].map(({ region }) => region));
	rest.delete(own);
	return [own, ...[...rest].sort()];
}
