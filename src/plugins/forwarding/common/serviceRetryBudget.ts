/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Limits the retries of this instance at a service, so that all instances together stay within a shared limit. First attempts earn
 * tokens for retries, and each instance uses its share of a fixed slack. No coordination with other instances is needed.
 */

import { type Millis, PROCESS_STARTED_AT } from '../../../base/clock.js';
import { RetryTokens } from './retryTokens.js';
import { SlidingCount } from './slidingCount.js';

/** Limits on the retries of all instances together. */
export interface RetryLimits {
	/** Retries allowed per first attempt. */
	readonly ratio: number;
	readonly windowMs: Millis;
	/** Additional retries allowed per window. */
	readonly slack: number;
}

/** One retry that was taken from a budget. */
export interface RetryPermit {
	readonly takenAt: Millis;
	/** Returns the retry to the budget, where nothing was written with it; to be called once at most. */
	giveBack(now: Millis): void;
}

/** Lifetime of a token as a fraction of the window: longer ones allow for larger bursts of retries, and for fewer afterwards. */
const TOKEN_LIFETIME_FRACTION = 0.3;
/** Time that a retry may take until it is written to a target, up to a connect timeout, as a fraction of the window. */
const MAX_DELAY_FRACTION = 0.05;
/**
 * Fraction of the ratio that first attempts earn. The retries that reach targets within a window may be paid for by first attempts from
 * before it, and other instances may have the same callers during the window.
 */
const EARNED_FRACTION = 1 / (1 + TOKEN_LIFETIME_FRACTION + MAX_DELAY_FRACTION);
/** Fraction of the ratio that this instance uses within a window, also if it has more tokens. */
const RATIO_SAFETY_FACTOR = 0.85;
/** Fraction of the slack that is used. The remainder covers instances that others don't know about yet. */
const SLACK_SAFETY_FACTOR = 0.7;

/** Retry budget of this instance for one service, over a sliding window. */
export class ServiceRetryBudget {
	private readonly _tokens: RetryTokens;
	private readonly _firstAttempts: SlidingCount;
	private readonly _paidRetries: SlidingCount;
	private readonly _slackRetries: SlidingCount;

	/** @param _startedAt start of this process; the process before it may have used the slack of the window */
	constructor(
		private readonly _limits: RetryLimits,
		private readonly _startedAt: Millis = PROCESS_STARTED_AT
	) {
		const { ratio, windowMs } = _limits;
		this._tokens = new RetryTokens(EARNED_FRACTION * ratio, TOKEN_LIFETIME_FRACTION * windowMs, windowMs);
		this._firstAttempts = new SlidingCount(windowMs);
		this._paidRetries = new SlidingCount(windowMs);
		this._slackRetries = new SlidingCount(windowMs);
	}

	/** Records that a request was sent to its first target. */
	recordFirstAttempt(now: Millis): void {
		this._firstAttempts.add(now);
		this._tokens.recordFirstAttempt(now);
	}

	/**
	 * Takes one retry from the budget. It has to be written to a target soon, or given back.
	 * @param entryCount number of instances that share the slack; infinite if unknown, in which case no slack is available
	 * @returns undefined if the budget is exhausted
	 */
	tryTake(entryCount: number, now: Millis): RetryPermit | undefined {
		return this._tryTakePaid(now) ?? this._tryTakeSlack(entryCount, now);
	}

	private _tryTakePaid(takenAt: Millis): RetryPermit | undefined {
		const maxRetries = RATIO_SAFETY_FACTOR * this._limits.ratio * this._firstAttempts.atMostWindow(takenAt);
		if (this._paidRetries.atLeastWindow(takenAt) + 1 > maxRetries) {
			return undefined;
		}
		const earnedAt = this._tokens.tryTake(takenAt);
		if (earnedAt === undefined) {
			return undefined;
		}
		this._paidRetries.add(takenAt);
		const giveBack = (now: Millis): void => {
			this._paidRetries.remove(takenAt, now);
			this._tokens.giveBack(earnedAt);
		};
		return { takenAt, giveBack };
	}

	/** The slack is not available before a window has passed since the start, as the process before may have used it. */
	private _tryTakeSlack(entryCount: number, takenAt: Millis): RetryPermit | undefined {
		const { slack, windowMs } = this._limits;
		const share = takenAt - this._startedAt < windowMs ? 0 : (SLACK_SAFETY_FACTOR * slack) / Math.max(1, entryCount);
		if (this._slackRetries.atLeastWindow(takenAt) + 1 > share) {
			return undefined;
		}
		this._slackRetries.add(takenAt);
		return { takenAt, giveBack: now => this._slackRetries.remove(takenAt, now) };
	}
}
