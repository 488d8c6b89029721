/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Measures the fraction of a region's assigned requests that its targets reject because they are full. */

import type { Millis } from '../../../base/clock.js';

/** Time constant of the decay of counts: long enough to cover some requests of each region, short compared to a surge. */
const DECAY_TIME_CONSTANT_MS = 600;
/** Regions with a smaller rate are not reported: it is within random variation and what the spill allowance covers. */
const MIN_REJECTION_RATE = 0.05;
/** Regions with fewer requests are not reported. */
const MIN_REQUESTS = 2;
/** The same where a rate must not be due to chance. */
const MIN_RELIABLE_REQUESTS = 8;

interface RegionCount {
	requests: number;
	rejected: number;
	updatedAt: Millis;
}

/** Counts the requests of one service by the region that the shares assign to them. */
export class RegionRejections {
	private readonly _counts = new Map<string, RegionCount>();

	/**
	 * Records that a request looked for a target in its region.
	 * @param isRejected whether no target there could take it
	 */
	record(region: string, isRejected: boolean, now: Millis): void {
		const count = this._decayedCount(region, now);
		count.requests++;
		if (isRejected) {
			count.rejected++;
		}
	}

	/** Returns the fraction of requests that each overloaded region rejects; other regions are left out. */
	rates(now: Millis): ReadonlyMap<string, number> {
		return this._ratesOf(MIN_REQUESTS, now);
	}

	/** Returns the same without regions that have too few requests for a rate that is not due to chance. */
	reliableRates(now: Millis): ReadonlyMap<string, number> {
		return this._ratesOf(MIN_RELIABLE_REQUESTS, now);
	}

	private _ratesOf(minRequests: number, now: Millis): ReadonlyMap<string, number> {
		const rates = new Map<string, number>();
		for (const region of this._counts.keys()) {
			const { requests, rejected } = this._decayedCount(region, now);
			if (requests >= minRequests && rejected / requests >= MIN_REJECTION_RATE) {
				rates.set(region, rejected / requests);
			}
		}
		return rates;
	}

	private _decayedCount(region: string, now: Millis): RegionCount {
		let count = this._counts.get(region);
		if (!count) {
			count = { requests: 0, rejected: 0, updatedAt: now };
			this._counts.set(region, count);
		}
		const decay = Math.exp(-(now - count.updatedAt) / DECAY_TIME_CONSTANT_MS);
		count.requests *= decay;
		count.rejected *= decay;
		count.updatedAt = now;
		return count;
	}
}
