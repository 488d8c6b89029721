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
/** Credits are prefetched for the requests expected in this time, which covers two renewals and their responses. */
const PREFETCH_MS = 1000;
/** Credits added to the expected requests, so that teams with few requests hold at least one. */
const PREFETCH_MARGIN = 1.3;
/** No credits are prefetched for a team without a request for this long. */
const IDLE_MS = 10000;

/** The credits of one team at one holder; the caller passes the current time. */
export class TeamCredits {
	private readonly _batches = new CreditBatches();
	private _received = 0;
	private _spent = 0;
	private _returned = 0;
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
		const ahead = Math.max(0, this._targetBalance(now) - this._batches.total);
		return { team, received: this._received, spent: this._spent, returned: this._returned, needed, ahead };
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
		return { team, received: this._received, spent: this._spent, returned: this._returned, needed: 0, ahead: 0 };
	}

	private _targetBalance(now: Millis): number {
		this._decayRequests(now);
		const isIdle = now - this._lastRequestAt > IDLE_MS;
		return isIdle ? 0 : Math.floor((this._decayedRequests / RATE_TIME_CONSTANT_MS) * PREFETCH_MS + PREFETCH_MARGIN);
	}

	/** Returns credits beyond twice the target balance, so that other holders can get them. */
	private _returnSurplus(now: Millis): void {
		this._returned += this._batches.removeOldest(Math.max(0, this._batches.total - 2 * this._targetBalance(now)));
	}

	private _dropExpired(now: Millis): void {
		this._returned += this._batches.dropExpired(now);
	}

	private _decayRequests(now: Millis): void {
		this._decayedRequests *= Math.exp(-(now - this._decayedAt) / RATE_TIME_CONSTANT_MS);
		this._decayedAt = now;
	}
}
