/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** When callers that were turned away are told to come back: one after the other where room comes so. */

import type { Millis } from '../../../../base/clock.js';

/** The callers of one service at one instance. */
export class CallerReturns {
	private _lastAt: Millis = Number.NEGATIVE_INFINITY;

	/**
	 * When the next caller is to come back.
	 * @param at when there is room first
	 * @param gapMs time from one permit to the next; 0 where there is room for all callers
	 * @param deadline until when the caller waits; one whose permit would come later takes none
	 */
	after({ at, gapMs }: { readonly at: Millis; readonly gapMs: Millis }, deadline: Millis): Millis {
		const permitAt = gapMs === 0 ? at : Math.max(at, this._lastAt + gapMs);
		if (permitAt > deadline) {
			return deadline;
		}
		this._lastAt = permitAt;
		return permitAt;
	}
}
