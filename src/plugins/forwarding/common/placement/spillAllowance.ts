/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Requests that leave the region that the shares gave them, because its targets are too full for them. They are not paced,
 * so they are few: at most a part of the requests that this instance sends, and one that was saved up.
 */

/**
 * Part of the bound on moves that requests beside the shares may use. Where all of them come at once and cease at once,
 * this part moves from one window to the next, on top of what the shares move.
 */
const USED_PART = 0.2;
const MOST_SAVED = 1;

/** Leave to send requests to other regions. */
export class SpillAllowance {
	private readonly _ratio: number;
	private _saved = 0;

	/** @param mostMoved part of a region's requests that may change their region from one window to the next */
	constructor(mostMoved: number) {
		this._ratio = USED_PART * mostMoved;
	}

	/** A request goes to its first target. */
	noteRequest(): void {
		this._saved = Math.min(MOST_SAVED, this._saved + this._ratio);
	}

	/** Whether a request may leave its region now. */
	get hasLeave(): boolean {
		return this._saved >= MOST_SAVED;
	}

	/** A request left its region. */
	take(): void {
		this._saved -= MOST_SAVED;
	}
}
