/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What was decided about one request, kept while it is on its way and logged when its end needs explaining. */

import type { Millis } from '../../../base/clock.js';

/** A target that was passed over, since it wants to be left alone or is at its limit. */
export interface PassedTarget {
	readonly target: string;
	/** For how much longer it wants to be left alone, in milliseconds; undefined where it does not. */
	readonly restLeftMs?: number;
	/** Requests a second that it takes from all instances together; undefined where that is not what was in the way. */
	readonly limitPerSecond?: number;
}

/** One attempt: what was known when the target was chosen, and what came of it. */
export interface AttemptTrace {
	readonly target: string;
	readonly region: string;
	/** Region that the shares gave the request; undefined where none did. */
	readonly firstRegion: string | undefined;
	/** Milliseconds from the arrival of the request to the choice. */
	readonly atMs: number;
	/** Requests at the target, as far as known. */
	readonly load: number;
	readonly slots: number;
	readonly isCold: boolean;
	/** The target that the object belongs to, where that one could not be used. */
	readonly passedOver: PassedTarget | undefined;
	/** Outcome, with its cause where there is one. */
	outcome: string;
	tookMs: number;
}

/** Lines a second that requests may log, and how many may come at once. */
const LINES_PER_SECOND = 40;
const BURST = 120;
/** One in this many requests that went as they should is logged too. */
const SAMPLE = 200;

/** Decides which requests are logged, so that the volume stays bounded under load. */
export class TraceSampler {
	private _tokens = BURST;
	private _refilledAt: Millis = 0;
	private _served = 0;
	private _leftOut = 0;

	/**
	 * Whether to log a request.
	 * @param isPlain whether it went as it should, at the first attempt
	 */
	admits(isPlain: boolean, now: Millis): boolean {
		if (isPlain && this._served++ % SAMPLE !== 0) {
			return false;
		}
		this._tokens = Math.min(BURST, this._tokens + ((now - this._refilledAt) / 1000) * LINES_PER_SECOND);
		this._refilledAt = now;
		if (this._tokens < 1) {
			this._leftOut++;
			return false;
		}
		this._tokens--;
		return true;
	}

	/** Requests that would have been logged but for the bound, since the last call. */
	takeLeftOut(): number {
		const count = this._leftOut;
		this._leftOut = 0;
		return count;
	}
}
