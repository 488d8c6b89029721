/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * How the requests of one region's callers are divided among regions. Callers and targets are not spread alike: a region
 * with few targets keeps what these can serve and sends the rest, always the same objects, to where there is room.
 */

/** Share of the objects by region, the own region first; they add up to one. */
export type RegionShares = readonly { readonly region: string; readonly share: number }[];

/** Part of all slots that a usual load needs; what a region can keep is measured by it. */
const PLANNED_USE = 0.6;

/**
 * The shares of one region.
 * @param own the region of the callers
 * @param slotsByRegion slots of the service's targets, for every region that may serve
 * @param regionCount regions with callers, each taken to send alike
 */
export function planShares(own: string, slotsByRegion: ReadonlyMap<string, number>, regionCount: number): RegionShares {
	const total = sum([...slotsByRegion.values()]);
	if (total === 0) {
		return [];
	}
	const demand = (total * PLANNED_USE) / Math.max(1, regionCount);
	const kept = Math.min(1, (slotsByRegion.get(own) ?? 0) / demand);
	const others = [...slotsByRegion].filter(([region]) => region !== own).sort(([a], [b]) => (a < b ? -1 : 1));
	const spare = others.map(([, slots]) => Math.max(0, slots - demand));
	const weights = sum(spare) > 0 ? spare : others.map(([, slots]) => slots);
	const weightSum = sum(weights);
	const shares = others.map(([region], i) => ({
		region,
		share: weightSum > 0 ? ((1 - kept) * weights[i]!) / weightSum : 0
	}));
	return [{ region: own, share: kept }, ...shares];
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
