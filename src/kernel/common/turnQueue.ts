/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Shares the turns of the event loop among those that have more to do than one of them allows. */

/** Something that is done in parts. */
export interface ITurnTaker {
	/** Does one part; adds itself to the queue again where more is left. */
	runTurn(): void;
}

/** Runs a bounded number of parts in a turn, in the order in which they were added. */
export class TurnQueue<T extends ITurnTaker> {
	private readonly _waiting = new Set<T>();
	private _isScheduled = false;

	/** @param _schedule calls back in the next turn */
	constructor(
		private readonly _maxWaiting: number,
		private readonly _maxPartsPerTurn: number,
		private readonly _schedule: (callback: () => void) => void
	) {}

	/**
	 * Has a part run in one of the next turns; nothing changes for one that waits already.
	 * @returns false where too many wait
	 */
	add(taker: T): boolean {
		if (!this._waiting.has(taker) && this._waiting.size >= this._maxWaiting) {
			return false;
		}
		this._waiting.add(taker);
		this._ensureScheduled();
		return true;
	}

	delete(taker: T): void {
		this._waiting.delete(taker);
	}

	private _ensureScheduled(): void {
		if (!this._isScheduled && this._waiting.size > 0) {
			this._isScheduled = true;
			this._schedule(() => this._runTurn());
		}
	}

	private _runTurn(): void {
		let parts = 0;
		// Those that add themselves again come last.
		for (const taker of this._waiting) {
			if (parts++ >= this._maxPartsPerTurn) {
				break;
			}
			this._waiting.delete(taker);
			taker.runTurn();
		}
		this._isScheduled = false;
		this._ensureScheduled();
	}
}
