/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Divides the requests of one region's callers among regions. Callers and targets are distributed differently: a region with
 * few targets keeps what they can serve and sends the rest, always the same objects, to regions with spare capacity.
 */

/** Shares of the objects by region, the callers' own region first; they add up to one. */
export type RegionShares = readonly RegionShare[];

/** The share of the objects that one region serves. */
export interface RegionShare {
	readonly region: string;
	readonly share: number;
}

/** Capacity and demand of a service in one region. */
export interface RegionCapacity {
	/** Slots of its available targets; 0 for a region that only has callers. */
	readonly slots: number;
	/** Slots that the region's callers need; undefined if none was reported. */
	readonly demand: number | undefined;
}

/**
 * Maximum load per slot in a region, relative to the mean of all regions. A target caches a limited number of objects and its
 * queue delays all of them, so sending a request to another region costs less than a cache miss.
 */
const MAX_RELATIVE_LOAD = 1.25;
/** The same for large responses, which cost more to transfer between regions than to wait for. */
const MAX_RELATIVE_LOAD_LARGE_RESPONSES = 2.5;

/**
 * Returns the shares of one region: it keeps its callers' requests up to the maximum relative load, and the rest goes to
 * regions below that, in proportion to their spare capacity. Empty if no region has slots.
 * @param own the region of the callers
 * @param capacities all regions with callers or targets; while no demand is known, regions are assumed to have equal demand
 * @param isLarge whether the responses are large
 */
export function planShares(
	own: string,
	capacities: ReadonlyMap<string, RegionCapacity>,
	isLarge = false
): RegionShares {
	const all = [...capacities.values()];
	const slots = sum(all.map(capacity => capacity.slots));
	if (slots === 0) {
		return [];
	}
	const isDemandKnown = all.some(capacity => capacity.demand !== undefined);
	const demandOf = (region: string): number => (isDemandKnown ? (capacities.get(region)?.demand ?? 0) : 1);
	const slotsOf = (region: string): number => capacities.get(region)?.slots ?? 0;
	const regions = [...capacities.keys()].sort();
	const factor = isLarge ? MAX_RELATIVE_LOAD_LARGE_RESPONSES : MAX_RELATIVE_LOAD;
	const maxLoadPerSlot = (factor * sum(regions.map(demandOf))) / slots;
	const ownShareByLoad =
		demandOf(own) > 0 ? Math.min(1, (maxLoadPerSlot * slotsOf(own)) / demandOf(own)) : Math.sign(slotsOf(own));
	const others = regions.filter(region => region !== own && slotsOf(region) > 0);
	const spareSlots = others.map(region => Math.max(0, maxLoadPerSlot * slotsOf(region) - demandOf(region)));
	const weights = sum(spareSlots) > 0 ? spareSlots : others.map(slotsOf);
	const ownShare = others.length > 0 ? ownShareByLoad : 1;
	const shares = others.map((region, i) => ({ region, share: ((1 - ownShare) * weights[i]!) / sum(weights) }));
	return [{ region: own, share: ownShare }, ...shares];
}

/**
 * Returns the regions for an object in order of preference: its first region, then the callers' own one, then by share.
 * @param present regions that have targets for it
 */
export function orderRegions(
	shares: RegionShares,
	firstRegion: string | undefined,
	present: readonly string[]
): string[] {
	const own = shares[0]?.region;
	const priority = (region: string): number => {
		if (region === firstRegion) {
			return 2;
		}
		return region === own ? 1.5 : shareOf(shares, region);
	};
	return [...present].sort((a, b) => priority(b) - priority(a) || (a < b ? -1 : 1));
}

/**
 * Returns the region that the shares assign to an object; undefined if there are no shares.
 * @param position position of the object in [0, 1)
 */
export function regionAtPosition(shares: RegionShares, position: number): string | undefined {
	let remaining = position;
	for (const { region, share } of shares) {
		remaining -= share;
		if (remaining < 0) {
			return region;
		}
	}
	return shares[0]?.region;
}

/** Returns the fraction of the objects whose region differs between two sets of shares, 0 to 1. */
export function movedFraction(from: RegionShares, to: RegionShares): number {
	return sum(to.map(({ region, share }) => Math.max(0, share - shareOf(from, region))));
}

/** Returns the share of a region; 0 if it has none. */
export function shareOf(shares: RegionShares, region: string): number {
	return shares.find(share => share.region === region)?.share ?? 0;
}

/** Returns the sum of the shares: one, but for rounding, for a complete set. */
export function totalShare(shares: RegionShares): number {
	return sum(shares.map(({ share }) => share));
}

/**
 * Returns the share of its callers' requests that a region would keep if all regions had equal demand. A higher share is only
 * temporary: the region has to give it up when its demand returns to normal.
 * @param own the region of the callers
 */
export function evenDemandShare(own: string, capacities: ReadonlyMap<string, RegionCapacity>, isLarge = false): number {
	const all = [...capacities].map(([region, capacity]) => [region, { ...capacity, demand: 1 }] as const);
	return shareOf(planShares(own, new Map(all), isLarge), own);
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
