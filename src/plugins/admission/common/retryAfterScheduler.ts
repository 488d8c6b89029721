/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Schedules the retries of rejected callers, spaced by the interval at which permits become available. */

import type { Millis } from '../../../base/clock.js';

/** Assigns retry times to the callers of one service at one instance. */
export class RetryAfterScheduler {
	private _lastRetryAt: Millis = Number.NEGATIVE_INFINITY;

	/**
	 * Returns the time at which the next caller should retry.
	 * @param at when capacity is first available
	 * @param intervalMs time between consecutive permits; 0 if there is capacity for all callers at once
	 * @param deadline the caller's deadline; returned as is, without reserving a permit, if the next permit is later
	 */
	after({ at, intervalMs }: { readonly at: Millis; readonly intervalMs: Millis }, deadline: Millis): Millis {
		const retryAt = intervalMs === 0 ? at : Math.max(at, this._lastRetryAt + intervalMs);
		if (retryAt > deadline) {
			return deadline;
		}
		this._lastRetryAt = retryAt;
		return retryAt;
	}
}
