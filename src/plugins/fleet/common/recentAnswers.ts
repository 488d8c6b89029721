/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Remembers for some seconds which requests targets have answered: a request that stops its targets is never answered. */

import type { Millis } from '../../../base/clock.js';

/** An answer is remembered for one to two times this long. */
const GENERATION_MS: Millis = 5000;
/** Maximum number of requests in a generation; further ones are not remembered. */
const MAX_REQUESTS = 4096;

/** When requests were last answered, by digest. Does no I/O; callers pass the time. */
export class RecentAnswers {
	private _current = new Map<string, Millis>();
	private _previous: ReadonlyMap<string, Millis> = new Map();
	private _rotatedAt: Millis = 0;

	/** Records that a target answered a request. */
	add(digest: string, now: Millis): void {
		this._rotate(now);
		if (this._current.size < MAX_REQUESTS || this._current.has(digest)) {
			this._current.set(digest, now);
		}
	}

	/** When a request was last answered; undefined if it was not answered lately. */
	answeredAt(digest: string, now: Millis): Millis | undefined {
		this._rotate(now);
		return this._current.get(digest) ?? this._previous.get(digest);
	}

	private _rotate(now: Millis): void {
		if (now - this._rotatedAt >= GENERATION_MS) {
			this._previous = now - this._rotatedAt < 2 * GENERATION_MS ? this._current : new Map();
			this._current = new Map();
			this._rotatedAt = now;
		}
	}
}
