/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How old an entry instance's view of the fleet is, at most. Pure but for the clocks that it is given. */

import { type IClock, type Millis, systemClock } from '../../../base/clock.js';

/** When a control instance was asked, as it counts for the age of its answer. */
export interface AskedMoment {
	readonly at: Millis;
}

/** The age of the view. */
export class ViewAge {
	private _currentAt: Millis = Number.NEGATIVE_INFINITY;

	constructor(private readonly _clock: IClock = systemClock) {}

	/** The age now; infinite before the first current answer. */
	ageMs(): Millis {
		return this._clock.now() - this._currentAt;
	}

	/** To be called right before a control instance is asked. */
	ask(): AskedMoment {
		return { at: this._clock.now() };
	}

	/**
	 * An answer came that is current.
	 * @param waitMs how long the answer was to be held back
	 * @param contactAgeMs its age when it was given
	 */
	noteCurrent(asked: AskedMoment, waitMs: Millis, contactAgeMs: Millis): void {
		const now = this._clock.now();
		const onWayMs = Math.max(0, now - asked.at - waitMs);
		this._currentAt = Math.max(this._currentAt, now - contactAgeMs - onWayMs);
	}
}
