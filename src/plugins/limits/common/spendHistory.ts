/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The admitted requests of a team in the last window. */

import type { Millis } from '../../../base/clock.js';

const BUCKET_MS = 100;

interface Bucket {
	/** End of the bucket; none of its requests was admitted later. */
	readonly endsAt: Millis;
	count: number;
}

/** Counts of admitted requests, in buckets of `BUCKET_MS`. */
export class SpendHistory {
	private readonly _buckets: Bucket[] = [];
	private _total = 0;

	constructor(private readonly _windowMs: Millis) {}

	/** Requests admitted in the window that ends now. */
	total(now: Millis): number {
		while (this._buckets.length > 0 && this._buckets[0]!.endsAt + this._windowMs <= now) {
			this._total -= this._buckets.shift()!.count;
		}
		return this._total;
	}

	/** Adds requests that were admitted up to now. */
	add(count: number, now: Millis): void {
		const endsAt = Math.ceil(now / BUCKET_MS) * BUCKET_MS;
		const last = this._buckets.at(-1);
		if (last?.endsAt === endsAt) {
			last.count += count;
		} else {
			this._buckets.push({ endsAt, count });
		}
		this._total += count;
	}

	/** Removes requests that did not run. Takes the oldest ones, which leave the window first, so that the total is never too low. */
	remove(count: number): void {
		let remaining = Math.min(count, this._total);
		this._total -= remaining;
		while (remaining > 0) {
			const oldest = this._buckets[0]!;
			const part = Math.min(remaining, oldest.count);
			oldest.count -= part;
			remaining -= part;
			if (oldest.count === 0) {
				this._buckets.shift();
			}
		}
	}

	/** Time until `count` of the counted requests have left the window; infinite if there are fewer. */
	capacityWaitMs(count: number, now: Millis): Millis {
		let freed = 0;
		for (const { endsAt: at, count: leaving } of this._buckets) {
			freed += leaving;
			if (freed >= count) {
				return Math.max(0, at + this._windowMs - now);
			}
		}
		return Number.POSITIVE_INFINITY;
	}
}
