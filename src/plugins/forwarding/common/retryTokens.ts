/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Tokens for retries that first attempts earn and that expire soon. Retries within a window are then paid for by first attempts of the
 * window and of one token lifetime before it, whichever instances those were made at. The latest token lasts longer, so that an
 * instance with few requests can retry some of them.
 */

import type { Millis } from '../../../base/clock.js';

/** Unused tokens. */
export class RetryTokens {
	/** When the tokens were earned, in ascending order. */
	private readonly _earnedAt: Millis[] = [];
	private _earnedFraction = 0;

	/**
	 * @param _perFirstAttempt tokens that a first attempt earns, 0 to 1
	 * @param _latestLifetimeMs lifetime of the latest token
	 */
	constructor(
		private readonly _perFirstAttempt: number,
		private readonly _lifetimeMs: Millis,
		private readonly _latestLifetimeMs: Millis
	) {}

	recordFirstAttempt(now: Millis): void {
		this._earnedFraction += this._perFirstAttempt;
		if (this._earnedFraction >= 1) {
			this._earnedFraction--;
			this._insert(now);
		}
	}

	/** Takes the token that expires first; returns when it was earned, or undefined if there is none. */
	tryTake(now: Millis): Millis | undefined {
		this._dropExpired(now);
		return this._earnedAt.shift();
	}

	/** Returns a token that was not used; it expires as if it had not been taken. */
	giveBack(earnedAt: Millis): void {
		this._insert(earnedAt);
	}

	private _dropExpired(now: Millis): void {
		const latest = this._earnedAt.at(-1);
		const firstValid = this._earnedAt.findIndex(earnedAt => now - earnedAt < this._lifetimeMs);
		if (firstValid >= 0) {
			this._earnedAt.splice(0, firstValid);
		} else if (latest !== undefined) {
			this._earnedAt.splice(0, this._earnedAt.length, ...(now - latest < this._latestLifetimeMs ? [latest] : []));
		}
	}

	private _insert(earnedAt: Millis): void {
		const laterIndex = this._earnedAt.findIndex(other => other > earnedAt);
		this._earnedAt.splice(laterIndex < 0 ? this._earnedAt.length : laterIndex, 0, earnedAt);
	}
}
