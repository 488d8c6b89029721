/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Longest recent durations by key. */

import type { Millis } from '../../../base/clock.js';

/** Keeps the longest duration of each key over the current window and the one before it. */
export class RecentDurations {
	private _current = new Map<string, Millis>();
	private _previous = new Map<string, Millis>();
	private _windowEndsAt: Millis;

	constructor(
		private readonly _windowMs: Millis,
		now: Millis
	) {
		this._windowEndsAt = now + _windowMs;
	}

	/** Records a duration; infinite for one that has no known end. */
	record(key: string, durationMs: Millis, now: Millis): void {
		this._advance(now);
		this._current.set(key, Math.max(durationMs, this._current.get(key) ?? 0));
	}

	/** The longest recent duration; undefined where none was recorded. */
	longest(key: string, now: Millis): Millis | undefined {
		this._advance(now);
		const [current, previous] = [this._current.get(key), this._previous.get(key)];
		return current === undefined || previous === undefined ? (current ?? previous) : Math.max(current, previous);
	}

	private _advance(now: Millis): void {
		if (now < this._windowEndsAt) {
			return;
		}
		this._previous = now < this._windowEndsAt + this._windowMs ? this._current : new Map<string, Millis>();
		this._current = new Map();
		this._windowEndsAt = now + this._windowMs;
	}
}
