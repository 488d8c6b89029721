/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Converts placements between ranges and one region per bucket, and compares them. */

import { BUCKET_COUNT, type Placement, type PlacementRange } from './configuration.js';

/** Returns the region of each bucket. */
export function expandPlacement(placement: Placement): string[] {
	const regions = new Array<string>(BUCKET_COUNT).fill(placement.home);
	for (const range of placement.ranges) {
		regions.fill(range.region, range.from, range.to);
	}
	return regions;
}

/** Converts one region per bucket to ranges. */
export function compressPlacement(group: string, home: string, regions: readonly string[]): Placement {
	const ranges: PlacementRange[] = [];
	let from = 0;
	for (let bucket = 1; bucket <= regions.length; bucket++) {
		if (bucket < regions.length && regions[bucket] === regions[from]) {
			continue;
		}
		if (regions[from] !== home) {
			ranges.push({ from, to: bucket, region: regions[from]! });
		}
		from = bucket;
	}
	return { group, home, ranges };
}

/** Returns the region that a bucket is assigned to. */
export function regionOfBucket(placement: Placement, bucket: number): string {
	const range = placement.ranges.find(item => bucket >= item.from && bucket < item.to);
	return range?.region ?? placement.home;
}

/** Returns the number of buckets that differ between two placements of the same clients. */
export function countMovedBuckets(before: Placement, after: Placement): number {
	const oldRegions = expandPlacement(before);
	return expandPlacement(after).filter((region, bucket) => region !== oldRegions[bucket]).length;
}

/**
 * Moves at most `limit` buckets of `before` to their region in `after`, lowest buckets first.
 * @param limit maximum number of buckets to move, 0 or more
 */
export function moveTowards(before: Placement, after: Placement, limit: number): Placement {
	const regions = expandPlacement(before);
	const desired = expandPlacement(after);
	let remaining = limit;
	for (let bucket = 0; bucket < BUCKET_COUNT && remaining > 0; bucket++) {
		if (regions[bucket] !== desired[bucket]) {
			regions[bucket] = desired[bucket]!;
			remaining--;
		}
	}
	return compressPlacement(before.group, before.home, regions);
}
