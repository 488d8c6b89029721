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
			this._dropExpired(now);
		}
	}

	/** Number of tokens that are held. */
	get count(): number {
		return this._earnedAt.length;
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
		while (this._earnedAt.length > 1 && now - this._earnedAt[0]! >= this._lifetimeMs) {
			this._earnedAt.shift();
		}
		if (this._earnedAt.length === 1 && now - this._earnedAt[0]! >= this._latestLifetimeMs) {
			this._earnedAt.shift();
		}
	}

	private _insert(earnedAt: Millis): void {
		let index = this._earnedAt.length;
		while (index > 0 && this._earnedAt[index - 1]! > earnedAt) {
			index--;
		}
		this._earnedAt.splice(index, 0, earnedAt);
	}
}
