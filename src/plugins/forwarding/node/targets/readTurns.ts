/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Spreads the work on responses that come in many small chunks over turns of the event loop. */

/** Responses that are read on in one turn of the event loop. */
const MAX_READ_PER_TURN = 2;

/** Has responses read on one after the other, oldest first, so that other connections are served in between. */
export class ReadTurns {
	private readonly _waiting = new Set<() => void>();
	private _turn: NodeJS.Immediate | undefined;

	/** Calls back in a later turn of the event loop. */
	schedule(callback: () => void): void {
		this._waiting.add(callback);
		this._turn ??= setImmediate(() => this._runTurn());
	}

	private _runTurn(): void {
		this._turn = undefined;
		const callbacks = [...this._waiting].slice(0, MAX_READ_PER_TURN);
		for (const callback of callbacks) {
			this._waiting.delete(callback);
			callback();
		}
		if (this._waiting.size > 0) {
			this._turn ??= setImmediate(() => this._runTurn());
		}
	}
}
