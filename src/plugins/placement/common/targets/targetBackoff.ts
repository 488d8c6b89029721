/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Backoff requested by a target, valid for one run of its process. */

import type { Millis } from '../../../../base/clock.js';
import type { BackoffRequest } from './targetReport.js';

/** How long an announced shutdown is remembered; longer than targets keep serving after the announcement. */
const LEAVING_RETENTION_MS: Millis = 600000;

/** Whether a target has asked this instance not to send requests, and until when. */
export class TargetBackoff {
	private _backoffUntil: Millis = Number.NEGATIVE_INFINITY;
	private _activeSince: Millis = Number.POSITIVE_INFINITY;
	private _isLeaving = false;
	private _isEndReported = true;

	/** Start of the current backoff, or of the latest one if none is active; infinite if there was none. */
	get activeSince(): Millis {
		return this._activeSince;
	}

	/** Whether the target has announced its shutdown, which is final. */
	get isLeaving(): boolean {
		return this._isLeaving;
	}

	/** Applies the request of a response. A later request may extend an earlier one, but never shortens it. */
	apply({ backoffMs, isLeaving }: BackoffRequest, now: Millis): void {
		if ((backoffMs > 0 || isLeaving) && !this.isActive(now)) {
			this._activeSince = now;
		}
		this._isLeaving ||= isLeaving;
		if (backoffMs > 0) {
			this._backoffUntil = Math.max(this._backoffUntil, now + backoffMs);
			this._isEndReported = false;
		}
	}

	/** Duration of a backoff that has ended since the last call; undefined if none has. */
	takeEndedDurationMs(now: Millis): Millis | undefined {
		if (this._isEndReported || this.isActive(now)) {
			return undefined;
		}
		this._isEndReported = true;
		return this._backoffUntil - this._activeSince;
	}

	/** Whether nothing may be sent to the target now. */
	isActive(now: Millis): boolean {
		return this._isLeaving || now < this._backoffUntil;
	}

	/** Whether this state must be kept even while the target is missing from the fleet view. */
	mustBeRetained(now: Millis): boolean {
		return now < this._backoffUntil || (this._isLeaving && now - this._activeSince < LEAVING_RETENTION_MS);
	}

	/** End of the backoff, on the monotonic clock; infinite if the target is shutting down. */
	get endsAt(): Millis {
		return this._isLeaving ? Number.POSITIVE_INFINITY : this._backoffUntil;
	}
}
