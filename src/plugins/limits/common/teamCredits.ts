/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The credits of one team that a control instance holds, and its reports on them to the leader. */

import type { Millis } from '../../../base/clock.js';
import { CreditBatches } from './creditBatches.js';
import { CREDIT_LIFETIME_MS } from './limitPolicy.js';
import type { CreditReport } from './limitWire.js';

/** Time constant of the decaying average of the request rate. */
const RATE_TIME_CONSTANT_MS = 3000;
/**
 * Credits are prefetched for the requests expected in this time: until a new leader grants credits after the loss of one. At most
 * `CREDIT_LIFETIME_MS - MIN_REMAINING_LIFETIME_MS`, or credits would expire before they are spent.
 */
const PREFETCH_MS = 1500;
/** Credits added to the expected requests, so that a team with few requests finds one while the one before is replaced. */
const PREFETCH_MARGIN = 2;
/** Credits that expire sooner do not count as prefetched: they would not last until a new leader grants credits. */
const MIN_REMAINING_LIFETIME_MS = 1000;
/** Prefetched credits are replaced before the next periodic renewal once this fraction of them is spent. */
const REFILL_FRACTION = 0.25;
/** Credits beyond this multiple of the prefetched ones are returned. */
const MAX_BALANCE_FACTOR = 1.25;
/** No credits are prefetched for a team without a request for this long. */
const IDLE_MS = 60000;

/** The credits of one team at one holder; the caller passes the current time. */
export class TeamCredits {
	private readonly _batches = new CreditBatches();
	private _received = 0;
	private _spent = 0;
	private _returned = 0;
	private _givenBack = 0;
	/** Credits requested ahead of need in reports that are in flight. */
	private _aheadInFlight = 0;
	/** Last report to which the leader has responded. */
	private _acknowledged: CreditReport | undefined;
	/** Sum of past requests, decayed with `RATE_TIME_CONSTANT_MS` up to `_decayedAt`. */
	private _decayedRequests = 0;
	private _decayedAt: Millis = 0;
	private _lastRequestAt: Millis = Number.NEGATIVE_INFINITY;
	private _perSecond: number | undefined;

	/** Waiting requests whose credits have not been requested yet. */
	waitingRequests = 0;
	/** Until when no credits are requested for requests that find none. */
	noCreditsUntil: Millis = Number.NEGATIVE_INFINITY;

	/** Counts requests of the team. */
	recordRequests(count: number, now: Millis): void {
		this._decayRequests(now);
		this._decayedRequests += count;
		this._lastRequestAt = now;
	}

	/** @returns the number of credits spent, at most `maxCount` */
	takeUpTo(maxCount: number, now: Millis): number {
		this._dropExpired(now);
		const taken = this._batches.removeOldest(maxCount);
		this._spent += taken;
		return taken;
	}

	/** Returns credits that were spent on requests that will not run. */
	giveBack(count: number): void {
		const unspent = Math.min(count, this._spent);
		this._spent -= unspent;
		this._returned += unspent;
		this._givenBack += unspent;
	}

	/**
	 * Adds credits granted by the leader.
	 * @param sentAt when they were requested
	 */
	add(count: number, sentAt: Millis): void {
		if (count > 0) {
			this._received += count;
			this._batches.add(count, sentAt + CREDIT_LIFETIME_MS);
		}
	}

	/** Creates a report to the leader, which requests credits for the waiting requests and resets their number. */
	report(team: string, now: Millis): CreditReport {
		this._dropExpired(now);
		this._returnSurplus(now);
		const needed = this.waitingRequests;
		this.waitingRequests = 0;
		const ahead = this._missingAhead(now);
		this._aheadInFlight += ahead;
		return { ...this._totals(team), needed, ahead };
	}

	/** Records that a report is no longer in flight, whether or not it was answered. */
	endReport({ ahead }: CreditReport): void {
		this._aheadInFlight -= ahead;
	}

	/** Whether prefetched credits should be replaced before the next periodic renewal. */
	needsRefill(now: Millis): boolean {
		const missing = this._missingAhead(now);
		return now >= this.noCreditsUntil && missing >= Math.max(1, REFILL_FRACTION * this._targetBalance(now));
	}

	/** Whether a report requests credits or contains changes that the leader has not acknowledged. */
	needsSending({ received, spent, returned, needed, ahead }: CreditReport): boolean {
		const acknowledged = this._acknowledged;
		const isKnown =
			acknowledged?.received === received && acknowledged.spent === spent && acknowledged.returned === returned;
		return needed > 0 || ahead > 0 || !isKnown;
	}

	/** Records that the leader has responded to a report. */
	recordAcknowledged(report: CreditReport): void {
		this._acknowledged = report;
	}

	/** Returns held credits in proportion if the limit of the team was lowered. */
	applyLimit(perSecond: number): void {
		if (this._perSecond !== undefined && perSecond < this._perSecond) {
			this._returned += this._batches.removeOldest(Math.ceil(this._batches.total * (1 - perSecond / this._perSecond)));
		}
		this._perSecond = perSecond;
	}

	/** Returns all held credits; none of them may be spent afterwards. */
	returnAll(): void {
		this._returned += this._batches.removeOldest(this._batches.total);
	}

	/** Returns all held credits before the holder stops; the report tells the leader. */
	releaseAll(team: string): CreditReport {
		this.returnAll();
		return { ...this._totals(team), needed: 0, ahead: 0 };
	}

	private _totals(team: string): Omit<CreditReport, 'needed' | 'ahead'> {
		return {
			team,
			received: this._received,
			spent: this._spent,
			returned: this._returned,
			givenBack: this._givenBack
		};
	}

	private _missingAhead(now: Millis): number {
		const lasting = this._batches.totalExpiringAfter(now + MIN_REMAINING_LIFETIME_MS);
		return Math.max(0, this._targetBalance(now) - lasting - this._aheadInFlight);
	}

	private _targetBalance(now: Millis): number {
		this._decayRequests(now);
		const isIdle = now - this._lastRequestAt > IDLE_MS;
		return isIdle ? 0 : Math.floor((this._decayedRequests / RATE_TIME_CONSTANT_MS) * PREFETCH_MS + PREFETCH_MARGIN);
	}

	/** Returns the oldest credits beyond the target balance and a part more, so that other holders can get them. */
	private _returnSurplus(now: Millis): void {
		const maxBalance = Math.ceil(MAX_BALANCE_FACTOR * this._targetBalance(now));
		this._returned += this._batches.removeOldest(Math.max(0, this._batches.total - maxBalance));
	}

	private _dropExpired(now: Millis): void {
		this._returned += this._batches.dropExpired(now);
	}

	private _decayRequests(now: Millis): void {
		this._decayedRequests *= Math.exp(-(now - this._decayedAt) / RATE_TIME_CONSTANT_MS);
		this._decayedAt = now;
	}
}
