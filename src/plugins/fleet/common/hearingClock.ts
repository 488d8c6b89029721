/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * When a control instance last heard of all entry instances and targets. One that is cut off, or has just come back, hears
 * of a few only; if it named just these, it would send all callers there, and call the others silent.
 */

import type { Millis } from '../../../base/clock.js';

/** In touch for this long, an instance has heard of all others through the exchange. */
const SETTLE_MS = 1000;
/** How long an instance that is cut off goes by what it heard before. */
const MEMORY_MS = 20000;

/** Tells by which time silence is to be judged. */
export class HearingClock {
	private _inTouchSince: Millis | undefined;
	private _heardAllAt: Millis | undefined;

	/** Takes in whether the instance is in touch with its leader and the others; to be called several times a second. */
	note(isInTouch: boolean, now: Millis): void {
		if (!isInTouch) {
			this._inTouchSince = undefined;
			return;
		}
		this._inTouchSince ??= now;
		if (now - this._inTouchSince >= SETTLE_MS) {
			this._heardAllAt = now;
		}
	}

	/** Since when all are heard of without a gap; undefined where they are not heard of now. */
	get hearingSince(): Millis | undefined {
		return this._inTouchSince !== undefined &&
			this._inTouchSince + SETTLE_MS <= (this._heardAllAt ?? Number.NEGATIVE_INFINITY)
			? this._inTouchSince + SETTLE_MS
			: undefined;
	}

	/** The last time at which all were heard of; undefined when that never was, or too long ago. */
	heardAllAt(now: Millis): Millis | undefined {
		const isRemembered = this._heardAllAt !== undefined && now - this._heardAllAt <= MEMORY_MS;
		return isRemembered ? this._heardAllAt : undefined;
	}
}
