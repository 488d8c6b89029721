/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Takes the credits that the requests of one team need at this instance, one call at a time. */

import { type Millis, systemClock } from '../../../base/clock.js';
import { MAX_GIVE_BACK_AGE_MS } from '../common/limitPolicy.js';
import type { CreditSource, TakeResponse } from '../common/limitWire.js';
import { type LimitDecision, LimitVerdict } from '../common/teamLimits.js';

const ADMITTED: LimitDecision = { verdict: LimitVerdict.Admitted, retryAfterMs: 0 };
/** Retry delay if no control instance could be reached, about the time until one is available again. */
const UNKNOWN_RETRY_AFTER_MS = 300;

/** Takes credits for `needed` requests and returns `returned` unused ones, which come from `returnedFrom` or later. */
export type TakeTeamCredits = (
	needed: number,
	returned: number,
	returnedFrom: CreditSource | undefined
) => Promise<TakeResponse>;

/** A call that got credits. */
interface Grant {
	readonly sentAt: Millis;
	readonly source: CreditSource;
}

/**
 * The requests of one team that wait for a credit. Requests that arrive while a call is in flight share the next one, which bounds
 * the number of calls during a surge.
 */
export class TeamAdmissionQueue {
	private _waiting: ((decision: LimitDecision) => void)[] = [];
	/** When the requests arrived whose credits are returned with the next call. */
	private _returnedArrivals: Millis[] = [];
	/** Calls whose credits may still be returned, oldest first. */
	private _grants: Grant[] = [];
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

	/** Returns the unused credit of a request, with the next call if that is soon enough; see `MAX_GIVE_BACK_AGE_MS`. */
	giveBack(arrivedAt: Millis): void {
		this._returnedArrivals.push(arrivedAt);
		if (this._returnedArrivals[0]! <= systemClock.now() - MAX_GIVE_BACK_AGE_MS) {
			this._dropOldReturns();
		}
	}

	private _dropOldReturns(): void {
		const oldest = systemClock.now() - MAX_GIVE_BACK_AGE_MS;
		this._returnedArrivals = this._returnedArrivals.filter(at => at > oldest);
		this._grants = this._grants.filter(({ sentAt }) => sentAt > oldest);
	}

	/** Grants of the credits to return with the next call: those of the holder that granted the latest ones. */
	private _takeReturns(): CreditSource[] {
		this._dropOldReturns();
		const holder = this._grants.at(-1)?.source.holder;
		const sources = this._returnedArrivals.flatMap(
			arrivedAt => this._grants.find(({ sentAt }) => sentAt >= arrivedAt)?.source ?? []
		);
		this._returnedArrivals = [];
		return sources.filter(source => source.holder === holder);
	}

	private async _requestCredits(): Promise<void> {
		this._isRequesting = true;
		while (this._waiting.length > 0) {
			const batch = this._waiting;
			this._waiting = [];
			const returns = this._takeReturns();
			const sentAt = systemClock.now();
			const { granted, retryAfterMs, source } = await this._take(batch.length, returns.length, earliest(returns));
			if (source) {
				this._grants.push({ sentAt, source });
			}
			batch.forEach((resolve, i) => resolve(i < granted ? ADMITTED : refusal(retryAfterMs)));
		}
		this._isRequesting = false;
	}
}

/** The earliest of the grants of one holder. */
function earliest(sources: readonly CreditSource[]): CreditSource | undefined {
	const byTime = [...sources].sort((a, b) => a.takenAt - b.takenAt);
	return byTime[0];
}

function refusal(retryAfterMs: Millis): LimitDecision {
	return retryAfterMs > 0
		? { verdict: LimitVerdict.OverLimit, retryAfterMs }
		: { verdict: LimitVerdict.Unknown, retryAfterMs: UNKNOWN_RETRY_AFTER_MS };
}
