/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Takes the credits that the requests of one team need at this instance, one call at a time. */

import type { Millis } from '../../../base/clock.js';
import type { TakeResponse } from '../common/limitWire.js';
import { type LimitDecision, LimitVerdict } from '../common/teamLimits.js';

const ADMITTED: LimitDecision = { verdict: LimitVerdict.Admitted, retryAfterMs: 0 };
/** Retry delay if no control instance could be reached, about the time until one is available again. */
const UNKNOWN_RETRY_AFTER_MS = 300;

/** Takes credits for `needed` requests and returns `returned` unused ones. */
export type TakeTeamCredits = (needed: number, returned: number) => Promise<TakeResponse>;

/**
 * The requests of one team that wait for a credit. Requests that arrive while a call is in flight share the next one, which bounds
 * the number of calls during a surge.
 */
export class TeamAdmissionQueue {
	private _waiting: ((decision: LimitDecision) => void)[] = [];
	private _returned = 0;
	private _isRequesting = false;

	constructor(private readonly _take: TakeTeamCredits) {}

	/** Waits for a credit for one request. */
	admit(): Promise<LimitDecision> {
		return new Promise(resolve => {
			this._waiting.push(resolve);
			if (!this._isRequesting) {
				void this._requestCredits();
			}
		});
	}

	/** Returns an unused credit, with the next call. */
	giveBack(): void {
		this._returned++;
	}

	private async _requestCredits(): Promise<void> {
		this._isRequesting = true;
		while (this._waiting.length > 0) {
			const batch = this._waiting;
			const returned = this._returned;
			this._waiting = [];
			this._returned = 0;
			const { granted, retryAfterMs } = await this._take(batch.length, returned);
			batch.forEach((resolve, i) => resolve(i < granted ? ADMITTED : refusal(retryAfterMs)));
		}
		this._isRequesting = false;
	}
}

function refusal(retryAfterMs: Millis): LimitDecision {
	return retryAfterMs > 0
		? { verdict: LimitVerdict.OverLimit, retryAfterMs }
		: { verdict: LimitVerdict.Unknown, retryAfterMs: UNKNOWN_RETRY_AFTER_MS };
}
