/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * What became of the targets of abandoned runs, by request. A target may stop for another reason while it runs an abandoned request; a
 * request is suspicious only if that happened at least as often as its targets went on.
 */

import type { Millis } from '../../../base/clock.js';

/** Outcomes are kept for one to two times this long. */
const GENERATION_MS: Millis = 5000;
/** Maximum number of requests in a generation; further ones are taken for suspicious. */
const MAX_REQUESTS = 4096;

interface Outcomes {
	lost: number;
	survived: number;
}

/** Counts outcomes of abandoned runs. Does no I/O; callers pass the time. */
export class AbandonedRunStatistics {
	private _current = new Map<string, Outcomes>();
	private _previous: ReadonlyMap<string, Outcomes> = new Map();
	private _rotatedAt: Millis = 0;

	/** Records that the target still ran some time after the run was abandoned. */
	recordSurvived(digest: string, now: Millis): void {
		this._add(digest, 0, 1, now);
	}

	/**
	 * Records that the target stopped.
	 * @param wasSurvived whether the run was recorded as survived before
	 */
	recordLost(digest: string, wasSurvived: boolean, now: Millis): void {
		this._add(digest, 1, wasSurvived ? -1 : 0, now);
	}

	/** Whether as many targets stopped after abandoned runs of the request as went on. */
	isSuspicious(digest: string): boolean {
		const { lost, survived } = this._outcomes(digest);
		return lost >= survived;
	}

	private _outcomes(digest: string): Outcomes {
		const current = this._current.get(digest);
		const previous = this._previous.get(digest);
		return {
			lost: (current?.lost ?? 0) + (previous?.lost ?? 0),
			survived: (current?.survived ?? 0) + (previous?.survived ?? 0)
		};
	}

	private _add(digest: string, lost: number, survived: number, now: Millis): void {
		this._rotate(now);
		const outcomes = this._current.get(digest) ?? { lost: 0, survived: 0 };
		outcomes.lost += lost;
		outcomes.survived += survived;
		if (this._current.size < MAX_REQUESTS) {
			this._current.set(digest, outcomes);
		}
	}

	private _rotate(now: Millis): void {
		if (now - this._rotatedAt >= GENERATION_MS) {
			this._previous = now - this._rotatedAt < 2 * GENERATION_MS ? this._current : new Map();
			this._current = new Map();
			this._rotatedAt = now;
		}
	}
}
