/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * How many requests are taken up in each turn of the event loop. Load: more new connections than the process can serve. The event loop
 * accepts one connection a turn, so if each turn is filled with work, the others wait in the operating system, unseen, until their
 * callers give up. While connections keep coming, most turns therefore only accept and read.
 */

import type { Millis } from '../../../base/clock.js';
import { type Acceptance, AcceptDelays } from '../../../kernel/common/acceptDelays.js';

/**
 * Connections that may wait to be accepted; with more, a slow process would accept those whose callers have given up. Others are left
 * by the operating system to try again.
 */
export const MAX_UNACCEPTED = 64;
/** Credit of a turn after which no connection waits to be accepted. */
const CREDIT_PER_TURN = 16;
/** Credit that each turn with a new connection adds while connections keep coming. */
const CREDIT_PER_ACCEPTING_TURN = 1;
/** Turns with a new connection one after the other, from which on connections are known to be waiting. */
const MIN_STREAK_TURNS = 2;

/** What taking up a request costs, in credit; the credit may become negative, which later turns make up for. */
export enum IntakeCost {
	/** It was passed on. */
	PassedOn = 4,
	/** It was refused at once, or had nothing to serve. */
	Refused = 1
}

/** The credit for taking up requests, and the wait of connections before they are accepted. */
export class IntakeTurns {
	private _credit = CREDIT_PER_TURN;
	private readonly _acceptDelays = new AcceptDelays(MAX_UNACCEPTED);

	/** Whether a request may be taken up in this turn. */
	get mayTake(): boolean {
		return this._credit > 0;
	}

	/** Whether the next turn has to begin even if nothing happens in it. */
	get isPending(): boolean {
		return this._acceptDelays.streakTurns > 0;
	}

	/**
	 * Records that this turn has accepted a connection.
	 * @param readDelayMs how long it may have waited for the event loop
	 */
	recordAccept(now: Millis, readDelayMs: Millis): Acceptance {
		return this._acceptDelays.recordAccept(now, readDelayMs);
	}

	/** How long bytes that are read in this turn may have waited before their connection was accepted. */
	acceptDelayMs(acceptance: Acceptance): Millis {
		return this._acceptDelays.delayMs(acceptance);
	}

	spend(cost: IntakeCost): void {
		this._credit -= cost;
	}

	/** Begins the turn that follows one with a connection or a request, or one after which {@link isPending} was true. */
	begin(): void {
		this._acceptDelays.beginTurn();
		this._credit =
			this._acceptDelays.streakTurns >= MIN_STREAK_TURNS
				? Math.min(CREDIT_PER_TURN, this._credit + CREDIT_PER_ACCEPTING_TURN)
				: CREDIT_PER_TURN;
	}
}
