/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * This instance's part of the retries that all instances together may make at a service: a part of its own first tries in
 * a window, and its part of a fixed slack. A part is safe by itself: it needs no word from any other instance.
 */

import type { Millis } from '../../../base/clock.js';

/** Bounds of the sum over all instances. */
export interface RetryBounds {
	/** Retries allowed for each first try. */
	readonly ratio: number;
	readonly windowMs: Millis;
	/** Retries allowed beyond that in a window. */
	readonly slack: number;
}

/**
 * Part of the retries by first tries that is used. Each instance counts its own, so no view of others can break the sum; the
 * rest covers windows that begin within a bucket, a tenth of the window.
 */
const USED_RATIO = 0.85;
/** Part of the slack that is used; the rest is for instances that start while others still count themselves fewer. */
const USED_SLACK = 0.7;
const BUCKETS = 10;

/** Counts first tries and retries of one service. */
export class RetryAllowance {
	private readonly _firstTries = new Array<number>(BUCKETS).fill(0);
	private readonly _retries = new Array<number>(BUCKETS).fill(0);
	private _bucket = 0;

	constructor(private readonly _bounds: RetryBounds) {}

	/** A request went to its first target. */
	noteFirstTry(now: Millis): void {
		this._advance(now);
		this._firstTries[this._bucket % BUCKETS]!++;
	}

	/**
	 * Takes leave for one retry.
	 * @param entryCount instances that share the slack; infinite where it is not known, which leaves none of it
	 */
	take(entryCount: number, now: Millis): boolean {
		this._advance(now);
		const firstTries = sum(this._firstTries);
		const { ratio, slack } = this._bounds;
		const allowed = USED_RATIO * ratio * firstTries + (USED_SLACK * slack) / Math.max(1, entryCount);
		if (sum(this._retries) + 1 > allowed) {
			return false;
		}
		this._retries[this._bucket % BUCKETS]!++;
		return true;
	}

	private _advance(now: Millis): void {
		const bucket = Math.floor(now / (this._bounds.windowMs / BUCKETS));
		const passed = Math.min(BUCKETS, bucket - this._bucket);
		for (let i = 1; i <= passed; i++) {
			this._firstTries[(this._bucket + i) % BUCKETS] = 0;
			this._retries[(this._bucket + i) % BUCKETS] = 0;
		}
		this._bucket = Math.max(bucket, this._bucket);
	}
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
