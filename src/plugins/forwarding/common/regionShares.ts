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

/** A step that moves more than the pace allows in this time is worth a line in the log: plans follow each 200 ms. */
const LONG_STEP_MS = 1000;

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

/** Why shares took a step that is longer than the pace allows between two plans that follow at once. */
export enum StepReason {
	/** There were no shares before. */
	First = 'first',
	/** A region that had a share has no targets any more. */
	RegionGone = 'region-gone',
	/** No plan was asked for in a while. */
	Rest = 'rest'
}

/** A step of the shares. */
export interface ShareStep {
	readonly from: RegionShares;
	readonly to: RegionShares;
	/** Part of the objects that changed their region, 0 to 1. */
	readonly moved: number;
	/** Time since the plan before. */
	readonly elapsedMs: Millis;
	readonly reason: StepReason;
}

/** Moves shares towards a plan no faster than the pace; a region without any slots is left at once. */
export class SharePacer {
	/** Part of the objects that may change their region in a millisecond. */
	private readonly _pace: number;
	private _shares: RegionShares = [];
	private _movedAt: Millis = 0;
	private _longStep?: ShareStep;

	constructor(bounds: ShiftBounds) {
		this._pace = (USED_PART * bounds.mostMoved) / bounds.windowMs;
	}

	/** The last step, if it was longer than the pace allows within a second. */
	get longStep(): ShareStep | undefined {
		return this._longStep;
	}

	/** The shares now. */
	follow(plan: RegionShares, now: Millis): RegionShares {
		const from = this._shares;
		const elapsedMs = now - this._movedAt;
		const to = this._step(plan, now);
		const moved = movedPart(from, to);
		const reason = stepReason(from, to);
		this._longStep = moved > this._pace * LONG_STEP_MS ? { from, to, moved, elapsedMs, reason } : undefined;
		return to;
	}

	private _step(plan: RegionShares, now: Millis): RegionShares {
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

/**
 * The region that the shares give an object.
 * @param position place of the object in [0, 1)
 */
export function regionAt(shares: RegionShares, position: number): string | undefined {
	let left = position;
	for (const { region, share } of shares) {
		left -= share;
		if (left < 0) {
			return region;
		}
	}
	return shares[0]?.region;
}

/** Part of the objects whose region differs between two sets of shares. */
function movedPart(from: RegionShares, to: RegionShares): number {
	const before = new Map(from.map(share => [share.region, share.share]));
	return sum(to.map(share => Math.max(0, share.share - (before.get(share.region) ?? 0))));
}

function stepReason(from: RegionShares, to: RegionShares): StepReason {
	if (from.length === 0) {
		return StepReason.First;
	}
	const isGone = from.some(({ region, share }) => share > 0 && !to.some(next => next.region === region));
	return isGone ? StepReason.RegionGone : StepReason.Rest;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
