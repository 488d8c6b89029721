/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Detects that the machine may have been suspended, during which the monotonic clock does not advance. */

import { type IClock, type Millis, systemClock } from './clock.js';

/**
 * How far the wall clock may get ahead of the monotonic clock between two checks without a suspension; clock synchronization
 * slews the wall clock by at most 0.01 %.
 */
const MAX_CLOCK_DRIFT_MS = 50;

/** Detects suspensions of the machine. */
export interface ISuspensionDetector {
	/** Returns whether the machine may have been suspended since the previous call, or since creation for the first call. */
	detectSuspension(): boolean;
}

/**
 * Compares the elapsed time of the wall clock with that of the monotonic clock. Setting the wall clock forward is reported as
 * a suspension, which ends a lease early and is safe. A suspension during which the wall clock is set back by the same
 * amount is not detected.
 */
export class SuspensionDetector implements ISuspensionDetector {
	private _lastMonotonicMs: Millis;
	private _lastWallMs: number;

	constructor(private readonly _clock: IClock = systemClock) {
		this._lastMonotonicMs = _clock.now();
		this._lastWallMs = _clock.wallNow();
	}

	detectSuspension(): boolean {
		const elapsedMonotonicMs = this._clock.now() - this._lastMonotonicMs;
		const elapsedWallMs = this._clock.wallNow() - this._lastWallMs;
		this._lastMonotonicMs += elapsedMonotonicMs;
		this._lastWallMs += elapsedWallMs;
		return elapsedWallMs - elapsedMonotonicMs > MAX_CLOCK_DRIFT_MS;
	}
}
