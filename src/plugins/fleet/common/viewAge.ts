/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Computes an upper bound of the age of an entry instance's view of the fleet. */

import { type IClock, type Millis, systemClock } from '../../../base/clock.js';
import { type ISuspensionDetector, SuspensionDetector } from '../../../base/suspensionDetector.js';

/** When a request was sent to a control instance. */
export interface RequestTimestamp {
	readonly at: Millis;
	/** Suspensions of the process that were detected by then. */
	readonly suspensionCount: number;
}

/** Tracks the age of the view. */
export class ViewAge {
	private _currentAt: Millis = Number.NEGATIVE_INFINITY;
	private _suspensionCount = 0;

	constructor(
		private readonly _clock: IClock = systemClock,
		private readonly _suspensionDetector: ISuspensionDetector = new SuspensionDetector(_clock)
	) {}

	/** Infinite before the first current response, and after a suspension until the next one. */
	ageMs(): Millis {
		this._checkSuspension();
		return this._clock.now() - this._currentAt;
	}

	/** Call right before sending a request to a control instance. */
	timestampRequest(): RequestTimestamp {
		this._checkSuspension();
		return { at: this._clock.now(), suspensionCount: this._suspensionCount };
	}

	/**
	 * Records a current response. Ignored if the process was suspended since the request was sent: the monotonic clock does not
	 * count that time, so the age of the response is unknown.
	 * @param waitMs how long the control instance was allowed to wait before it responded
	 * @param contactAgeMs age of the data when the response was sent
	 */
	recordCurrentAnswer(request: RequestTimestamp, waitMs: Millis, contactAgeMs: Millis): void {
		this._checkSuspension();
		if (request.suspensionCount === this._suspensionCount) {
			const now = this._clock.now();
			const transitMs = Math.max(0, now - request.at - waitMs);
			this._currentAt = Math.max(this._currentAt, now - contactAgeMs - transitMs);
		}
	}

	/** Discards the age of the view after a suspension, whose duration the monotonic clock does not count. */
	private _checkSuspension(): void {
		if (this._suspensionDetector.detectSuspension()) {
			this._suspensionCount++;
			this._currentAt = Number.NEGATIVE_INFINITY;
		}
	}
}
