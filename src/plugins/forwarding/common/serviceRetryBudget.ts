/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Limits the retries of this instance at a service, so that all instances together stay within a shared limit. An instance
 * may make a fraction of its own first attempts in a window as retries, and uses its share of a fixed slack. No coordination
 * with other instances is needed.
 */

import type { Millis } from '../../../base/clock.js';

/** Limits on the retries of all instances together. */
export interface RetryLimits {
	/** Retries allowed per first attempt. */
	readonly ratio: number;
	readonly windowMs: Millis;
	/** Additional retries allowed per window. */
	readonly slack: number;
}

/**
 * Fraction of the ratio that is used. The remainder is a margin for windows that begin within a bucket, which is a tenth of
 * the window. Each instance counts its own first attempts, so the sum does not depend on the known number of instances.
 */
const RATIO_SAFETY_FACTOR = 0.85;
/** Fraction of the slack that is used. The remainder covers instances that others don't know about yet. */
const SLACK_SAFETY_FACTOR = 0.7;
const BUCKETS = 10;

/** Retry budget of this instance for one service, over a sliding window. */
export class ServiceRetryBudget {
	private readonly _firstAttempts = new Array<number>(BUCKETS).fill(0);
	private readonly _retries = new Array<number>(BUCKETS).fill(0);
	private _bucket = 0;

	constructor(private readonly _limits: RetryLimits) {}

	/** Records that a request was sent to its first target. */
	recordFirstAttempt(now: Millis): void {
		this._advance(now);
		this._firstAttempts[this._bucket % BUCKETS]!++;
	}

	/**
	 * Consumes one retry from the budget.
	 * @param entryCount number of instances that share the slack; infinite if unknown, in which case no slack is available
	 * @returns false if the budget is exhausted
	 */
	tryTake(entryCount: number, now: Millis): boolean {
		this._advance(now);
		const firstAttempts = sum(this._firstAttempts);
		const { ratio, slack } = this._limits;
		const allowed =
			RATIO_SAFETY_FACTOR * ratio * firstAttempts + (SLACK_SAFETY_FACTOR * slack) / Math.max(1, entryCount);
		if (sum(this._retries) + 1 > allowed) {
			return false;
		}
		this._retries[this._bucket % BUCKETS]!++;
		return true;
	}

	private _advance(now: Millis): void {
		const bucket = Math.floor(now / (this._limits.windowMs / BUCKETS));
		const elapsedBuckets = Math.min(BUCKETS, bucket - this._bucket);
		for (let i = 1; i <= elapsedBuckets; i++) {
			this._firstAttempts[(this._bucket + i) % BUCKETS] = 0;
			this._retries[(this._bucket + i) % BUCKETS] = 0;
		}
		this._bucket = Math.max(bucket, this._bucket);
	}
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
