/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Routing decisions for one request, collected while it is processed, and sampling of the log lines that show them. */

import type { Millis } from '../../../base/clock.js';

/** A target that was skipped because it asked for backoff or has reached its rate limit. */
export interface SkippedTarget {
	readonly target: string;
	/** Remaining time of its backoff in milliseconds; undefined if it was not skipped for that reason. */
	readonly restLeftMs?: number;
	/** Its rate limit for all instances together, in requests per second; undefined if it was not skipped for that reason. */
	readonly limitPerSecond?: number;
}

/** Metric labels of the outcome of an attempt. */
export interface AttemptLabels {
	/** Type of the outcome. */
	readonly outcome: string;
	/** Empty for none. */
	readonly cause: string;
}

/** One attempt: the state of the target when it was selected, and the outcome. */
export interface AttemptTrace {
	readonly target: string;
	readonly region: string;
	/** Region selected by the region shares; undefined if they selected none. */
	readonly firstRegion: string | undefined;
	/** Time from the arrival of the request to the selection of the target, in milliseconds. */
	readonly atMs: number;
	/** Estimated number of requests at the target, those of other instances included. */
	readonly load: number;
	readonly slots: number;
	readonly isCold: boolean;
	/** The preferred target of the object, if it was skipped. */
	readonly passedOver: SkippedTarget | undefined;
	/** Estimated time from the selection of the target to its answer; undefined if the service's targets report no work time. */
	readonly estimateMs?: Millis;
	/** Estimated duration of work at the target relative to its usual duration; undefined if the service's targets report none. */
	readonly workTimeFactor?: number;
	/** Outcome, followed by its cause if it has one. */
	outcome: string;
	/** The outcome as metric labels; undefined while the attempt is in progress. */
	labels?: AttemptLabels;
	tookMs: number;
}

/** Rate limit of sampled log lines, as a token bucket. */
const MAX_LINES_PER_SECOND = 40;
const MAX_BURST_LINES = 120;
/** One in this many routine requests is logged. */
const ROUTINE_SAMPLE_INTERVAL = 200;

/** Samples and rate-limits log lines to bound their volume under load. */
export class LogSampler {
	private _tokens = MAX_BURST_LINES;
	private _refilledAt: Millis = 0;
	private _routineRequests = 0;
	private _dropped = 0;

	/**
	 * Whether to log an event; consumes a token if so.
	 * @param isRoutine whether nothing is unusual about the event, so that only a sample of its kind is logged
	 */
	admits(isRoutine: boolean, now: Millis): boolean {
		if (isRoutine && this._routineRequests++ % ROUTINE_SAMPLE_INTERVAL !== 0) {
			return false;
		}
		this._tokens = Math.min(MAX_BURST_LINES, this._tokens + ((now - this._refilledAt) / 1000) * MAX_LINES_PER_SECOND);
		this._refilledAt = now;
		if (this._tokens < 1) {
			this._dropped++;
			return false;
		}
		this._tokens--;
		return true;
	}

	/** Number of lines dropped by the rate limit since the last call. */
	takeDroppedCount(): number {
		const count = this._dropped;
		this._dropped = 0;
		return count;
	}
}
