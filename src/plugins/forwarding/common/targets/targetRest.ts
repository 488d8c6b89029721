/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Whether one life of a target wants work from this instance, by its own word. */

import type { Millis } from '../../../../base/clock.js';
import type { TargetWord } from './targetWord.js';

/** A target that leaves keeps serving for some seconds, at times for many; what it said is remembered for longer than that. */
const LEAVING_KEPT_MS: Millis = 600000;

/** What a target asked for, and until when it holds. */
export class TargetRest {
	private _restsUntil: Millis = Number.NEGATIVE_INFINITY;
	private _askedAt: Millis = Number.POSITIVE_INFINITY;
	private _isLeaving = false;
	private _isEndTold = true;

	/** When it first asked for what holds now, or held last; infinite for never. */
	get askedAt(): Millis {
		return this._askedAt;
	}

	/** Whether it said that it ends soon; that holds for good. */
	get isLeaving(): boolean {
		return this._isLeaving;
	}

	/** Takes the word of an answer in. A later word never shortens an earlier one, since each holds by itself. */
	hear({ restMs, isLeaving }: Pick<TargetWord, 'restMs' | 'isLeaving'>, now: Millis): void {
		if ((restMs > 0 || isLeaving) && !this.isAsked(now)) {
			this._askedAt = now;
		}
		this._isLeaving ||= isLeaving;
		if (restMs > 0) {
			this._restsUntil = Math.max(this._restsUntil, now + restMs);
			this._isEndTold = false;
		}
	}

	/** How long a rest took that has ended since the last call; undefined where none has. */
	takeEnded(now: Millis): Millis | undefined {
		if (this._isEndTold || this.isAsked(now)) {
			return undefined;
		}
		this._isEndTold = true;
		return this._restsUntil - this._askedAt;
	}

	/** Whether it wants nothing now. */
	isAsked(now: Millis): boolean {
		return this._isLeaving || now < this._restsUntil;
	}

	/** Whether what it asked for is to be remembered, also while nobody names the target. */
	isToBeKept(now: Millis): boolean {
		return now < this._restsUntil || (this._isLeaving && now - this._askedAt < LEAVING_KEPT_MS);
	}

	/** When it wants work again, on the monotonic clock; infinite for one that leaves. */
	get endsAt(): Millis {
		return this._isLeaving ? Number.POSITIVE_INFINITY : this._restsUntil;
	}
}
