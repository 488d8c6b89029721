/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Refuses requests that waited too long for this process. Load: more requests than its processor can pass on, for seconds. A queue that
 * is not worked off in a while only adds its wait to each request, so it is shortened to a fraction of what a single burst may wait.
 */

import type { Millis } from '../../../base/clock.js';

/** Wait that does not count as a queue. */
const PROMPT_MS: Millis = 50;
/** A queue in which no request was prompt for this long does not come from a burst. */
const STANDING_QUEUE_MS: Millis = 250;
/** Longest wait behind a burst. */
const MAX_BURST_WAIT_MS: Millis = 500;
/** The same as a fraction of the time that the caller waits; most of it is left for the target. */
const MAX_WAIT_FRACTION = 0.25;
/** Part of the longest wait that remains in a queue that does not come from a burst. */
const STANDING_QUEUE_FRACTION = 0.5;

/** Decides by the waits of all requests of a process. */
export class QueueDelayGuard {
	/** When the first request was taken up late after the last prompt one; undefined while requests are prompt. */
	private _lateSince: Millis | undefined;

	/**
	 * Whether a request is served although it waited.
	 * @param waitedMs from its arrival until it was taken up
	 * @param remainingMs how long its caller waits from its arrival
	 */
	admits(waitedMs: Millis, remainingMs: Millis, now: Millis): boolean {
		if (waitedMs <= PROMPT_MS) {
			this._lateSince = undefined;
			return true;
		}
		this._lateSince ??= now;
		const isStanding = now - this._lateSince > STANDING_QUEUE_MS;
		const maxWaitMs = Math.min(MAX_BURST_WAIT_MS, remainingMs * MAX_WAIT_FRACTION);
		return waitedMs <= maxWaitMs * (isStanding ? STANDING_QUEUE_FRACTION : 1);
	}
}
