/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * How the requests of one region's callers are divided among regions. Callers and targets are not spread alike: a region
 * with few targets keeps what these can serve and sends the rest, always the same objects, to where there is room.
 */

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

/**
 * The regions for an object: its first one, then the own one, then by share.
 * @param present regions that have targets for it
 */
export function regionOrder(shares: RegionShares, first: string | undefined, present: readonly string[]): string[] {
	const own = shares[0]?.region;
	const rank = (region: string): number => {
		if (region === first) {
			return 2;
		}
		return region === own ? 1.5 : shareOf(shares, region);
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

/** Part of the objects whose region differs between two sets of shares, 0 to 1. */
export function movedPart(from: RegionShares, to: RegionShares): number {
	return sum(to.map(({ region, share }) => Math.max(0, share - shareOf(from, region))));
}

/** The share of a region; 0 for one that has none. */
export function shareOf(shares: RegionShares, region: string): number {
	return shares.find(share => share.region === region)?.share ?? 0;
}

/** All shares together; one but for rounding, where none is left out. */
export function totalOf(shares: RegionShares): number {
	return sum(shares.map(({ share }) => share));
}

/**
 * The share that a region would keep of its callers if they needed as much as those of the other regions on average. What it
 * keeps beyond that it has to give away again when they are back.
 * @param own the region of the callers
 */
export function usualShare(own: string, rooms: ReadonlyMap<string, RegionRoom>, isLarge = false): number {
	const all = [...rooms].map(([region, room]) => [region, { ...room, demand: 1 }] as const);
	return shareOf(planShares(own, new Map(all), isLarge), own);
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
