/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Counts of a simulation's requests by the region in which they ran, over time. */

import type { Millis } from '../../../base/clock.js';
import { REGIONS } from './simulatedSizes.js';

/** Window over which moves between regions are counted. */
export const WINDOW_MS: Millis = 2000;
/** Counted in place of a region for requests that were refused. */
export const REFUSED = 'refused';
const BUCKET_MS = 200;
const BUCKETS_PER_WINDOW = WINDOW_MS / BUCKET_MS;

/** Number of requests by region. */
type Counts = ReadonlyMap<string, number>;

/** Requests by the region in which they ran, in buckets of time. */
export class RegionCounts {
	private readonly _buckets: Map<string, number>[] = [];

	/** @param _now returns the time of the simulation */
	constructor(private readonly _now: () => Millis) {}

	/** Counts a request that runs in a region now, or was refused. */
	record(region: string): void {
		const counts = (this._buckets[this._currentBucket] ??= new Map<string, number>());
		counts.set(region, (counts.get(region) ?? 0) + 1);
	}

	/** Returns the fraction of the requests that ran in each region, or were refused, over the last span. */
	shares(spanMs: Millis): Readonly<Record<string, number>> {
		const counts = this._sum(this._currentBucket - Math.ceil(spanMs / BUCKET_MS), this._currentBucket);
		const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
		return Object.fromEntries([...counts].map(([region, count]) => [region, count / total]));
	}

	/**
	 * Returns the largest fraction of the requests that ran which changed their region between adjacent windows, the later from
	 * `since` on.
	 */
	maxMovedFraction(since: Millis): number {
		return this._maxOfWindows(since, movedFractionOfRun);
	}

	/** The same relative to all requests; ones that were refused do not count as moved. */
	maxMovedFractionOfAll(since: Millis): number {
		return this._maxOfWindows(since, movedFractionOfAll);
	}

	private _maxOfWindows(since: Millis, movedFraction: (before: Counts, after: Counts) => number): number {
		let max = 0;
		for (let end = Math.ceil(since / BUCKET_MS) + BUCKETS_PER_WINDOW; end <= this._currentBucket; end++) {
			const before = this._sum(end - 2 * BUCKETS_PER_WINDOW, end - BUCKETS_PER_WINDOW);
			const after = this._sum(end - BUCKETS_PER_WINDOW, end);
			max = Math.max(max, movedFraction(before, after));
		}
		return max;
	}

	private get _currentBucket(): number {
		return Math.floor(this._now() / BUCKET_MS);
	}

	private _sum(from: number, to: number): Map<string, number> {
		const sums = new Map<string, number>();
		for (let bucket = from; bucket < to; bucket++) {
			this._buckets[bucket]?.forEach((count, region) => sums.set(region, (sums.get(region) ?? 0) + count));
		}
		return sums;
	}
}

/** Returns the fraction of the requests that ran which moved from one region to another; refused requests did not run. */
function movedFractionOfRun(before: Counts, after: Counts): number {
	const totalOf = (counts: Counts): number =>
		[...counts].reduce((sum, [region, count]) => sum + (region === REFUSED ? 0 : count), 0);
	const [was, is] = [totalOf(before), totalOf(after)];
	if (was === 0 || is === 0) {
		return 0;
	}
	const gain = (region: string): number => Math.max(0, (after.get(region) ?? 0) / is - (before.get(region) ?? 0) / was);
	return REGIONS.reduce((sum, region) => sum + gain(region), 0);
}

/** Returns the fraction of requests that moved from one region to another; refused requests do not count as moved. */
function movedFractionOfAll(before: Counts, after: Counts): number {
	const totalOf = (counts: Counts): number => [...counts.values()].reduce((sum, count) => sum + count, 0);
	const [was, is] = [totalOf(before), totalOf(after)];
	if (was === 0 || is === 0) {
		return 0;
	}
	const regions = new Set([...before.keys(), ...after.keys()]);
	regions.delete(REFUSED);
	const changes = [...regions].map(region => (after.get(region) ?? 0) / is - (before.get(region) ?? 0) / was);
	const gained = changes.reduce((sum, change) => sum + Math.max(0, change), 0);
	const lost = changes.reduce((sum, change) => sum + Math.max(0, -change), 0);
	return Math.min(gained, lost);
}
