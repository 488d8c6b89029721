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
	/** Slots of its targets that take work. */
	readonly slots: number;
	/** Slots that the region's callers need; undefined where it is not known yet. */
	readonly demand: number | undefined;
}

/** Part of a region's slots that is planned for; the rest is for what comes unevenly. */
const PLANNED_USE = 0.75;
/** Part of all slots that a load is taken to need before it was measured. */
const ASSUMED_USE = 0.5;
/**
 * Most objects a slot, against the mean of all regions. A target keeps a limited number of objects at hand; a region that
 * kept more of them than this would serve none of them fast, though it had the slots.
 */
const MAX_OBJECT_DENSITY = 1.75;
/** Most of the objects that change their region in a second; well below what callers would notice as a move. */
const PACE_PER_SECOND = 0.04;

/**
 * The shares of one region.
 * @param own the region of the callers
 * @param rooms every region that may serve
 * @param regionCount regions with callers; where nothing was measured, each is taken to need alike
 */
export function planShares(own: string, rooms: ReadonlyMap<string, RegionRoom>, regionCount: number): RegionShares {
	const total = sum([...rooms.values()].map(room => room.slots));
	if (total === 0) {
		return [];
	}
	const assumed = (total * ASSUMED_USE) / Math.max(1, regionCount);
	const demandOf = (region: string): number => rooms.get(region)?.demand ?? assumed;
	const usableIn = (region: string): number => (rooms.get(region)?.slots ?? 0) * PLANNED_USE;
	const byRoom = usableIn(own) / Math.max(demandOf(own), Number.MIN_VALUE);
	const byObjects = (MAX_OBJECT_DENSITY * Math.max(1, regionCount) * (rooms.get(own)?.slots ?? 0)) / total;
	const kept = Math.min(1, byRoom, byObjects);
	const others = [...rooms.keys()].filter(region => region !== own).sort();
	const spare = others.map(region => Math.max(0, usableIn(region) - demandOf(region)));
	const weights = sum(spare) > 0 ? spare : others.map(usableIn);
	const weightSum = sum(weights);
	const keptHere = weightSum > 0 ? kept : 1;
	const shares = others.map((region, i) => ({ region, share: ((1 - keptHere) * weights[i]!) / (weightSum || 1) }));
	return [{ region: own, share: keptHere }, ...shares];
}

/** Moves shares towards a plan no faster than the pace; a region without any slots is left at once. */
export class SharePacer {
	private _shares: RegionShares = [];
	private _movedAt: Millis = 0;

	/** The shares now. */
	follow(plan: RegionShares, now: Millis): RegionShares {
		const isKnown = (region: string): boolean => plan.some(share => share.region === region);
		const isNew = this._shares.length === 0 || this._shares.some(share => share.share > 0 && !isKnown(share.region));
		const allowed = (PACE_PER_SECOND * (now - this._movedAt)) / 1000;
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
