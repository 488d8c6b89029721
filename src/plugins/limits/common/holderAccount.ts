/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The ledger's account of one team's credits at one holder. A granted credit is outstanding until the holder reports it as
 * spent or returned, or until it must have expired at the holder; if it was not reported by then, it counts as spent.
 */

import type { Millis } from '../../../base/clock.js';
import { CreditBatches } from './creditBatches.js';
import { CREDIT_LIFETIME_MS, EXPIRY_MARGIN_MS, MAX_REPORT_GAP_MS } from './limitPolicy.js';
import type { CreditReport } from './limitWire.js';

/**
 * A grant that the holder has not reported as received after this time is lost: the holder ignores responses later than 1 s, and a
 * report is at most as old when it arrives. Must be less than `CREDIT_LIFETIME_MS + EXPIRY_MARGIN_MS`.
 */
const GRANT_LOST_AFTER_MS = 2300;

/** What a report changes in the window. */
export interface ReportedChange {
	readonly spent: number;
	/** Credits that had counted as spent, on requests that did not run. */
	readonly givenBack: number;
}

/** The credits of one team at one holder, as known to the ledger. */
export class HolderAccount {
	/** Outstanding credits, oldest first. */
	private readonly _batches = new CreditBatches();
	/** Grants that the holder may not have reported as received yet. */
	private readonly _recentGrants: { readonly at: Millis; readonly count: number }[] = [];
	/** Credits of all older grants of this account. */
	private _olderGrantTotal = 0;
	private _lost = 0;
	/** Expired credits that counted as spent without a report. */
	private _writtenOff = 0;
	private _spent: number;
	private _returned: number;
	private _givenBack: number | undefined;
	/** Credits of this account that were returned and never spent. */
	private _unused = 0;
	/** Credits reported as spent since this account was opened. */
	private _spentSinceStart = 0;
	private readonly _receivedAtStart: number;
	private _reportedAt: Millis;
	/** Credits of an earlier leader, held when this account was opened; they are covered by that leader's ceiling. */
	private _inherited: number;

	/** Opens the account with the holder's first report, which precedes any grant. */
	constructor({ received, spent, returned, givenBack }: CreditReport, now: Millis) {
		this._reportedAt = now;
		this._receivedAtStart = received;
		this._spent = spent;
		this._returned = returned;
		this._givenBack = givenBack;
		this._inherited = received - spent - returned;
	}

	/** Credits that the holder may still spend. */
	get outstanding(): number {
		return this._batches.total;
	}

	/** Credits of this account that were certainly never spent. */
	get unused(): number {
		return this._unused;
	}

	grant(count: number, now: Millis): void {
		this._batches.add(count, now + CREDIT_LIFETIME_MS + EXPIRY_MARGIN_MS);
		this._recentGrants.push({ at: now, count });
	}

	/** Applies a report of the holder and returns what it changes in the window. */
	applyReport({ received, spent, returned, givenBack }: CreditReport, now: Millis): ReportedChange {
		const netSpent = spent - this._spent;
		const newGivenBack =
			givenBack === undefined || this._givenBack === undefined ? undefined : givenBack - this._givenBack;
		const accounted = netSpent + returned - this._returned;
		const change = this._windowChange(netSpent, newGivenBack, now);
		this._spent = spent;
		this._returned = returned;
		this._givenBack = givenBack;
		this._reportedAt = now;
		this._spentSinceStart += change.spent - change.givenBack;
		const removed = this._batches.removeOldest(this._deductOlderCredits(Math.max(0, accounted)));
		this._unused += newGivenBack === undefined ? 0 : Math.max(0, removed - netSpent - newGivenBack);
		this._batches.removeOldest(this._countNewlyLost(received - this._receivedAtStart, now));
		return change;
	}

	/** Credits given back lower the window's total only if they were certainly spent within it, by requests that this account counted. */
	private _windowChange(netSpent: number, newGivenBack: number | undefined, now: Millis): ReportedChange {
		const spent = Math.max(0, netSpent + (newGivenBack ?? 0));
		const isRecent = now - this._reportedAt <= MAX_REPORT_GAP_MS;
		const givenBack = newGivenBack ?? Math.max(0, -netSpent);
		return { spent, givenBack: isRecent ? Math.min(givenBack, this._spentSinceStart + spent) : 0 };
	}

	/** @returns credits that must have expired at the holder without a report; they may have been spent */
	writeOffExpired(now: Millis): number {
		const count = this._batches.dropExpired(now);
		this._writtenOff += count;
		return count;
	}

	/** Deducts inherited and written-off credits, which are not in the batches: the holder spends its oldest credits first. */
	private _deductOlderCredits(accounted: number): number {
		const inherited = Math.min(this._inherited, accounted);
		this._inherited -= inherited;
		const writtenOff = Math.min(this._writtenOff, accounted - inherited);
		this._writtenOff -= writtenOff;
		return accounted - inherited - writtenOff;
	}

	private _countNewlyLost(received: number, now: Millis): number {
		while (this._recentGrants.length > 0 && now - this._recentGrants[0]!.at > GRANT_LOST_AFTER_MS) {
			this._olderGrantTotal += this._recentGrants.shift()!.count;
		}
		const lost = Math.max(0, this._olderGrantTotal - received - this._lost);
		this._lost += lost;
		return lost;
	}
}
