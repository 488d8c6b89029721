/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How old an entry instance's view of the fleet is, at most. Pure but for the clocks that it is given. */

import { type IClock, type Millis, systemClock } from '../../../base/clock.js';
import { type ISuspensionWatch, SuspensionWatch } from '../../../base/suspensionWatch.js';

/** When a control instance was asked, as it counts for the age of its answer. */
export interface AskedMoment {
	readonly at: Millis;
	/** Suspensions that were noticed until then. */
	readonly suspensions: number;
}

/** The age of the view. */
export class ViewAge {
	private _currentAt: Millis = Number.NEGATIVE_INFINITY;
	private _suspensions = 0;

	constructor(
		private readonly _clock: IClock = systemClock,
		private readonly _watch: ISuspensionWatch = new SuspensionWatch(_clock)
	) {}

	/** The age now; infinite before the first current answer, and after a suspension until the next one. */
	ageMs(): Millis {
		this._noticeSuspension();
		return this._clock.now() - this._currentAt;
	}

	/** To be called right before a control instance is asked. */
	ask(): AskedMoment {
		this._noticeSuspension();
		return { at: this._clock.now(), suspensions: this._suspensions };
	}

	/**
	 * An answer came that is current. One to a question from before a suspension may be older than the steady clock says, by as much as
	 * that took, and does not count.
	 * @param waitMs how long the answer was to be held back
	 * @param contactAgeMs its age when it was given
	 */
	noteCurrent(asked: AskedMoment, waitMs: Millis, contactAgeMs: Millis): void {
		this._noticeSuspension();
		if (asked.suspensions === this._suspensions) {
			const now = this._clock.now();
			const onWayMs = Math.max(0, now - asked.at - waitMs);
			this._currentAt = Math.max(this._currentAt, now - contactAgeMs - onWayMs);
		}
	}

	/** Time passed that the steady clock did not count: nobody knows how old the view is. */
	private _noticeSuspension(): void {
		if (this._watch.takeLeap()) {
			this._suspensions++;
			this._currentAt = Number.NEGATIVE_INFINITY;
		}
	}
}
