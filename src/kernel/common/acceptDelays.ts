/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * How long connections may have waited before they were accepted. The event loop accepts one connection a turn, so those that came while
 * the process did not run are accepted long after it goes on.
 */

import type { Millis } from '../../base/clock.js';

/** When a connection was accepted. */
export interface Acceptance {
	readonly turn: number;
	/** How long it may have waited before. */
	readonly delayMs: Millis;
}

/** The connections of one listener. */
export class AcceptDelays {
	private _turn = 0;
	private _hasAccepted = false;
	private _streakTurns = 0;
	/** Connections to accept that may have come before the end of the last stall, and when that stall began. */
	private _stalledLeft = 0;
	private _stalledSince: Millis = 0;

	/** @param _maxUnaccepted connections that may wait to be accepted */
	constructor(private readonly _maxUnaccepted: number) {}

	/** Turns with a new connection one after the other; where it is not 0, the next turn has to begin even if nothing happens in it. */
	get streakTurns(): number {
		return this._streakTurns;
	}

	/**
	 * Records that this turn has accepted a connection.
	 * @param readDelayMs how long it may have waited for the event loop
	 */
	recordAccept(now: Millis, readDelayMs: Millis): Acceptance {
		if (readDelayMs > 0) {
			const since = now - readDelayMs;
			this._stalledSince = this._stalledLeft > 0 ? Math.min(this._stalledSince, since) : since;
			this._stalledLeft = this._maxUnaccepted;
		}
		this._hasAccepted = true;
		const mayHaveWaited = this._stalledLeft > 0;
		this._stalledLeft = Math.max(0, this._stalledLeft - 1);
		return { turn: this._turn, delayMs: mayHaveWaited ? now - this._stalledSince : 0 };
	}

	/** How long bytes that are read in this turn may have waited before their connection was accepted. */
	delayMs({ turn, delayMs }: Acceptance): Millis {
		return this._turn <= turn + 1 ? delayMs : 0;
	}

	/** Begins the turn that follows one with a connection. */
	beginTurn(): void {
		this._turn++;
		this._streakTurns = this._hasAccepted ? this._streakTurns + 1 : 0;
		this._hasAccepted = false;
		this._stalledLeft = this._streakTurns > 0 ? this._stalledLeft : 0;
	}
}
