/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Asks for the credits that the requests of one team need at this instance, one call at a time. */

import type { Millis } from '../../../base/clock.js';
import type { TakeResponse } from '../common/limitWire.js';
import { type LimitAnswer, LimitVerdict } from '../common/teamLimits.js';

const ADMITTED: LimitAnswer = { verdict: LimitVerdict.Admitted, retryAfterMs: 0 };
/** Where nobody could be asked, a leader or a home is back after about this long. */
const UNKNOWN_RETRY_MS = 300;

/** Takes credits for some requests and gives back those that were not used before. */
export type TakeCredits = (needed: number, returned: number) => Promise<TakeResponse>;

/**
 * The requests of one team that wait for a credit. While a call is under way further requests gather for the next one, so a
 * surge of a team costs no more calls than its home can answer.
 */
export class TeamAsker {
	private _waiting: ((answer: LimitAnswer) => void)[] = [];
	private _returned = 0;
	private _isAsking = false;

	constructor(private readonly _take: TakeCredits) {}

	/** Waits for leave to send one request. */
	admit(): Promise<LimitAnswer> {
		return new Promise(resolve => {
			this._waiting.push(resolve);
			if (!this._isAsking) {
				void this._ask();
			}
		});
	}

	/** A credit was not used; the next call says so. */
	giveBack(): void {
		this._returned++;
	}

	private async _ask(): Promise<void> {
		this._isAsking = true;
		while (this._waiting.length > 0) {
			const batch = this._waiting;
			const returned = this._returned;
			this._waiting = [];
			this._returned = 0;
			const { granted, retryAfterMs } = await this._take(batch.length, returned);
			batch.forEach((resolve, i) => resolve(i < granted ? ADMITTED : refusedFor(retryAfterMs)));
		}
		this._isAsking = false;
	}
}

function refusedFor(retryAfterMs: Millis): LimitAnswer {
	return retryAfterMs > 0
		? { verdict: LimitVerdict.OverLimit, retryAfterMs }
		: { verdict: LimitVerdict.Unknown, retryAfterMs: UNKNOWN_RETRY_MS };
}
