/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * How the requests of one region's callers are divided among regions. Callers and targets are not spread alike: a region
 * with few targets keeps what these can serve and sends the rest, always the same objects, to where there is room.
 */

import type { Millis } from '../../../base/clock.js';

/** Share of the objects by region, the own region first; they add up to one. */
export type RegionShares = readonly RegionShare[];

/** One region's share. */
export interface RegionShare {
	readonly region: string;
	readonly share: number;
}

/** What a service has and needs in one region. */
export interface RegionRoom {
	/** Slots of its targets that take work; 0 for a region that only has callers. */
	readonly slots: number;
	/** Slots that the region's callers need; undefined where none was heard of. */
	readonly demand: number | undefined;
}

/**
 * Most load a slot in a region, against the mean of all regions. A target keeps a limited number of objects at hand, and
 * its queue delays all of them: a crossing between regions costs less than an object that nobody has at hand.
 */
const MAX_RELATIVE_LOAD = 1.25;
/** The same for large answers, whose way between regions costs more than a wait. */
const MAX_RELATIVE_LOAD_LARGE = 2.5;
/**
 * Part of the allowed moves that shares use; the rest is for requests that leave a crowded region, and for the chance by
 * which some objects are asked for more often than others. 0.4 and 0.6 were measured: docs/POLICY.md, round 7.
 */
const USED_PART = 0.6;

/** How fast the requests of a region's callers may change the region in which they are served. */
export interface ShiftBounds {
	/** Part of a region's requests that may change between one window and the next, 0 to 1. */
	readonly mostMoved: number;
	readonly windowMs: Millis;
}

/**
 * The shares of one region: its callers stay at home up to a load that is a little above the mean, and the rest goes where
 * load is below that, in proportion to the room there.
 * @param own the region of the callers
 * @param rooms every region with callers or targets; while no need is known, all are taken to need alike
 * @param isLarge whether the answers are large
 */
export function planShares(own: string, rooms: ReadonlyMap<string, RegionRoom>, isLarge = false): RegionShares {
	const all = [...rooms.values()];
	const slots = sum(all.map(room => room.slots));
	if (slots === 0) {
		return [];
	}
	const isKnown = all.some(room => room.demand !== undefined);
	const demandOf = (region: string): number => (isKnown ? (rooms.get(region)?.demand ?? 0) : 1);
	const slotsOf = (region: string): number => rooms.get(region)?.slots ?? 0;
	const regions = [...rooms.keys()].sort();
	const factor = isLarge ? MAX_RELATIVE_LOAD_LARGE : MAX_RELATIVE_LOAD;
	const most = (factor * sum(regions.map(demandOf))) / slots;
	const kept = demandOf(own) > 0 ? Math.min(1, (most * slotsOf(own)) / demandOf(own)) : Math.sign(slotsOf(own));
	const others = regions.filter(region => region !== own && slotsOf(region) > 0);
	const spare = others.map(region => Math.max(0, most * slotsOf(region) - demandOf(region)));
	const weights = sum(spare) > 0 ? spare : others.map(slotsOf);
	const keptHere = others.length > 0 ? kept : 1;
	const shares = others.map((region, i) => ({ region, share: ((1 - keptHere) * weights[i]!) / sum(weights) }));
	return [{ region: own, share: keptHere }, ...shares];
}

/** Moves shares towards a plan no faster than the pace; a region without any slots is left at once. */
export class SharePacer {
	/** Part of the objects that may change their region in a millisecond. */
	private readonly _pace: number;
	private _shares: RegionShares = [];
	private _movedAt: Millis = 0;

	constructor(bounds: ShiftBounds) {
		this._pace = (USED_PART * bounds.mostMoved) / bounds.windowMs;
	}

	/** The shares now. */
	follow(plan: RegionShares, now: Millis): RegionShares {
		const isKnown = (region: string): boolean => plan.some(share => share.region === region);
		const isNew = this._shares.length === 0 || this._shares.some(share => share.share > 0 && !isKnown(share.region));
		const allowed = this._pace * (now - this._movedAt);
		const before = new Map(this._shares.map(share => [share.region, share.share]));
		const wanted = sum(plan.map(share => Math.max(0, share.share - (before.get(share.region) ?? 0))));
		this._movedAt = now;
		if (isNew || wanted <= allowed) {
			this._shares = plan;
			return plan;
		}
		const part = allowed / wanted;
		this._shares = plan.map(({ region, share }) => {
			const current = before.get(region) ?? 0;
			return { region, share: current + (share - current) * part };
		});
		return this._shares;
	}
}

/**
 * The regions for an object, its first one by its position, then by share.
 * @param position place of the object in [0, 1)
 * @param present regions that have targets for it
 */
export function regionOrder(shares: RegionShares, position: number, present: readonly string[]): string[] {
	const first = regionAt(shares, position);
	const own = shares[0]?.region;
	const rank = (region: string): number => {
		if (region === first) {
			return 2;
		}
		return region === own ? 1.5 : (shares.find(share => share.region === region)?.share ?? 0);
	};
	return [...present].sort((a, b) => rank(b) - rank(a) || (a < b ? -1 : 1));
}

function regionAt(shares: RegionShares, position: number): string | undefined {
	let left = position;
	for (const { region, share } of shares) {
		left -= share;
		if (left < 0) {
			return region;
		}
	}
	return shares[0]?.region;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
