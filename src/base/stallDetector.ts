/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Detects that this process did not run for a while, as after a stop or suspension, so that input may have waited for it. */

import { type IClock, type Millis, systemClock } from './clock.js';
import { Disposable, toDisposable } from './disposable.js';

const TICK_INTERVAL_MS: Millis = 100;
/** A longer time without a tick is a stall. */
const MIN_STALL_MS: Millis = 500;
/** Input that waited during a stall is read within this time after it. */
const SETTLE_MS: Millis = 500;

/** Watches the time between ticks of the event loop, on the monotonic clock and, for suspensions, on the wall clock. */
export class StallDetector extends Disposable {
	private _tickedAt: Millis;
	private _tickedWallAt: number;
	private _stalledUntil: Millis = Number.NEGATIVE_INFINITY;

	constructor(private readonly _clock: IClock = systemClock) {
		super();
		this._tickedAt = _clock.now();
		this._tickedWallAt = _clock.wallNow();
		const timer = setInterval(() => this._tick(), TICK_INTERVAL_MS);
		timer.unref();
		this._register(toDisposable(() => clearInterval(timer)));
	}

	/** Whether input that is read now may have waited during a stall. */
	hasStalledRecently(): boolean {
		this._tick();
		return this._clock.now() - this._stalledUntil < SETTLE_MS;
	}

	private _tick(): void {
		const now = this._clock.now();
		const wallNow = this._clock.wallNow();
		if (Math.max(now - this._tickedAt, wallNow - this._tickedWallAt) > MIN_STALL_MS) {
			this._stalledUntil = now;
		}
		this._tickedAt = now;
		this._tickedWallAt = wallNow;
	}
}
