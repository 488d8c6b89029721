/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Counts events over a sliding window. */

import type { Millis } from '../../../base/clock.js';

const BUCKETS_PER_WINDOW = 10;
/**
 * Two more than a window has: the oldest and the newest bucket lie in it only in part, and an event may take effect up to a bucket
 * after it was added.
 */
const BUCKETS = BUCKETS_PER_WINDOW + 2;

/** Events of the last window, in buckets of a tenth of it. */
export class SlidingCount {
	private readonly _counts = new Array<number>(BUCKETS).fill(0);
	private _bucket = 0;

	constructor(private readonly _windowMs: Millis) {}

	/** Counts an event; one from before the newest bucket counts in that. */
	add(now: Millis): void {
		this._advance(now);
		this._counts[this._bucket % BUCKETS]!++;
	}

	/** Takes back an event that was added at a time. */
	remove(addedAt: Millis, now: Millis): void {
		this._advance(now);
		const bucket = this._bucketOf(addedAt);
		if (bucket > this._bucket - BUCKETS) {
			this._counts[bucket % BUCKETS]!--;
		}
	}

	/** Number of events of the window and of one to two buckets before it. */
	atLeastWindow(now: Millis): number {
		this._advance(now);
		return this._counts.reduce((total, count) => total + count, 0);
	}

	/** Number of events of the window, up to a bucket at its beginning excepted. */
	atMostWindow(now: Millis): number {
		const outside = this._counts[(this._bucket + 1) % BUCKETS]! + this._counts[(this._bucket + 2) % BUCKETS]!;
		return this.atLeastWindow(now) - outside;
	}

	private _bucketOf(time: Millis): number {
		return Math.floor(time / (this._windowMs / BUCKETS_PER_WINDOW));
	}

	private _advance(now: Millis): void {
		const bucket = this._bucketOf(now);
		const elapsedBuckets = Math.min(BUCKETS, bucket - this._bucket);
		for (let i = 1; i <= elapsedBuckets; i++) {
			this._counts[(this._bucket + i) % BUCKETS] = 0;
		}
		this._bucket = Math.max(bucket, this._bucket);
	}
}
