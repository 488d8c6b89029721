/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How many requests of a simulation change their region between windows. */

/** Length of a window in buckets of the simulation. */
const MOVE_WINDOW_BUCKETS = 4;

/** Returns the largest fraction of the requests that are in another region in one window than in the one before. */
export function maxMovedFraction(buckets: readonly ReadonlyMap<string, number>[]): number {
	const fractions = (from: number): ReadonlyMap<string, number> => {
		const counts = new Map<string, number>();
		for (const bucket of buckets.slice(from, from + MOVE_WINDOW_BUCKETS)) {
			bucket?.forEach((count, region) => counts.set(region, (counts.get(region) ?? 0) + count));
		}
		const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
		return new Map([...counts].map(([region, count]) => [region, count / total]));
	};
	let max = 0;
	for (let from = 0; from + 2 * MOVE_WINDOW_BUCKETS < buckets.length; from++) {
		const before = fractions(from);
		const after = fractions(from + MOVE_WINDOW_BUCKETS);
		const moved = [...after].reduce((sum, [region, part]) => sum + Math.max(0, part - (before.get(region) ?? 0)), 0);
		max = Math.max(max, moved);
	}
	return max;
}
