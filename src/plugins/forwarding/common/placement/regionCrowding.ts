/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How many of the requests that belong to a region find its targets too full there. */

import type { Millis } from '../../../../base/clock.js';

/** Requests are forgotten over this time: long enough to see some of each region, short against a surge of callers. */
const SPAN_MS = 600;
/** A region with a smaller part of such requests is left alone: chance, and what may leave it beside the shares. */
const LEAST_PART = 0.05;
/** With fewer requests than this nothing is said of a region. */
const LEAST_REQUESTS = 2;

interface RegionCount {
	requests: number;
	turnedAway: number;
	updatedAt: Millis;
}

/** Counts the requests of one service by the region that the shares gave them. */
export class RegionCrowding {
	private readonly _counts = new Map<string, RegionCount>();

	/**
	 * A request looked for a target in its region.
	 * @param isTurnedAway whether none there could take it
	 */
	note(region: string, isTurnedAway: boolean, now: Millis): void {
		const count = this._decayed(region, now);
		count.requests++;
		if (isTurnedAway) {
			count.turnedAway++;
		}
	}

	/** The regions that are crowded, with the part of their requests that they can't take. */
	parts(now: Millis): ReadonlyMap<string, number> {
		const parts = new Map<string, number>();
		for (const region of this._counts.keys()) {
			const { requests, turnedAway } = this._decayed(region, now);
			if (requests >= LEAST_REQUESTS && turnedAway / requests >= LEAST_PART) {
				parts.set(region, turnedAway / requests);
			}
		}
		return parts;
	}

	private _decayed(region: string, now: Millis): RegionCount {
		let count = this._counts.get(region);
		if (!count) {
			count = { requests: 0, turnedAway: 0, updatedAt: now };
			this._counts.set(region, count);
		}
		const kept = Math.exp(-(now - count.updatedAt) / SPAN_MS);
		count.requests *= kept;
		count.turnedAway *= kept;
		count.updatedAt = now;
		return count;
	}
}
