/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Limits the retries of this instance at a service, so that all instances together stay within a shared limit. An instance
 * may make a fraction of its own first attempts in a window as retries, and uses its share of a fixed slack. No coordination
 * with other instances is needed.
 */

import { type Millis, PROCESS_STARTED_AT } from '../../../base/clock.js';

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
const BUCKETS_PER_WINDOW = 10;
/** One more than a window has, since the oldest and the newest bucket lie in it only in part. */
const BUCKETS = BUCKETS_PER_WINDOW + 1;

/** Retry budget of this instance for one service, over a sliding window. */
export class ServiceRetryBudget {
	private readonly _firstAttempts = new Array<number>(BUCKETS).fill(0);
	private readonly _retries = new Array<number>(BUCKETS).fill(0);
	private _bucket = 0;

	/** @param _startedAt start of this process; the process before it may have used the slack of the window */
	constructor(
		private readonly _limits: RetryLimits,
		private readonly _startedAt: Millis = PROCESS_STARTED_AT
	) {}

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
		const oldest = this._firstAttempts[(this._bucket + 1) % BUCKETS]!;
		const firstAttempts = sum(this._firstAttempts) - oldest;
		const allowed =
			RATIO_SAFETY_FACTOR * this._limits.ratio * firstAttempts + this._availableSlack(now) / Math.max(1, entryCount);
		if (sum(this._retries) + 1 > allowed) {
			return false;
		}
		this._retries[this._bucket % BUCKETS]!++;
		return true;
	}

	/** The part of the slack that all instances together may use now. */
	private _availableSlack(now: Millis): number {
		const { slack, windowMs } = this._limits;
		return now - this._startedAt < windowMs ? 0 : SLACK_SAFETY_FACTOR * slack;
	}

	private _advance(now: Millis): void {
		const bucket = Math.floor(now / (this._limits.windowMs / BUCKETS_PER_WINDOW));
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
