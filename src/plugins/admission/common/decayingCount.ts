/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A count of events in which older events weigh less. */

import type { Millis } from '../../../base/clock.js';

/** Counts events with exponentially decreasing weight. */
export class DecayingCount {
	private _count = 0;
	private _updatedAt: Millis;

	/** @param _decayMs age at which an event still has the weight 1/e */
	constructor(
		private readonly _decayMs: Millis,
		now: Millis
	) {
		this._updatedAt = now;
	}

	add(now: Millis, weight = 1): void {
		this._count = this._decayed(now) + weight;
		this._updatedAt = Math.max(now, this._updatedAt);
	}

	/** Events per second. */
	perSecond(now: Millis): number {
		return (this._decayed(now) * 1000) / this._decayMs;
	}

	private _decayed(now: Millis): number {
		return this._count * Math.exp(-Math.max(0, now - this._updatedAt) / this._decayMs);
	}
}
