/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The ledger's account of one team's credits at one holder. Every credit that was given counts until the holder says what
 * became of it, or until it must have lapsed there; one that the holder says nothing of by then counts as spent.
 */

import type { Millis } from '../../../base/clock.js';
import { CreditBatches } from './creditBatches.js';
import { CREDIT_LIFE_MS, LAPSE_MARGIN_MS } from './limitTerms.js';
import type { CreditReport } from './limitWire.js';

/**
 * Credits that a holder does not count as received this long after they were given are lost: it takes no answer later than 1 s,
 * and a report that was written before is no older than that when it comes. Shorter than the time after which they lapse here.
 */
const LOST_AFTER_MS = 2300;

/** Credits of one team at one holder, as the ledger has them. */
export class HolderAccount {
	/** Given and not accounted for, oldest first. */
	private readonly _batches = new CreditBatches();
	/** Given so lately that the holder may not have said that it has them. */
	private readonly _underWay: { readonly at: Millis; readonly count: number }[] = [];
	/** Given before that, since the beginning. */
	private _settledGrants = 0;
	private _lost = 0;
	/** Taken as spent without a word of the holder. */
	private _writtenOff = 0;
	private _spent: number;
	private _returned: number;
	/** What was spent since this account began. */
	private _spentHere = 0;
	private readonly _receivedBefore: number;
	/** Credits of a leader before that it had when this account began; they count there. */
	private _inherited: number;

	/** @param first the holder's first word, which comes before any grant */
	constructor({ received, spent, returned }: CreditReport) {
		this._receivedBefore = received;
		this._spent = spent;
		this._returned = returned;
		this._inherited = received - spent - returned;
	}

	/** Credits that the holder may spend. */
	get out(): number {
		return this._batches.total;
	}

	/** Credits are given. */
	grant(count: number, now: Millis): void {
		this._batches.add(count, now + CREDIT_LIFE_MS + LAPSE_MARGIN_MS);
		this._underWay.push({ at: now, count });
	}

	/**
	 * Takes in what the holder says.
	 * @returns what was spent since its last word; less than 0 where requests gave credits back that had been spent
	 */
	report({ received, spent, returned }: CreditReport, now: Millis): number {
		const newSpent = Math.max(spent - this._spent, -this._spentHere);
		const accounted = spent - this._spent + returned - this._returned;
		this._spent = spent;
		this._returned = returned;
		this._spentHere += newSpent;
		this._batches.remove(this._beyondKnown(Math.max(0, accounted)));
		this._batches.remove(this._newlyLost(received - this._receivedBefore, now));
		return newSpent;
	}

	/** @returns credits that must have lapsed at the holder, of which it said nothing: they may have been spent */
	writeOff(now: Millis): number {
		const count = this._batches.dropLapsed(now);
		this._writtenOff += count;
		return count;
	}

	/** What the holder accounts for beyond credits that are not among the batches: the oldest ones, which it spends first. */
	private _beyondKnown(accounted: number): number {
		const inherited = Math.min(this._inherited, accounted);
		this._inherited -= inherited;
		const writtenOff = Math.min(this._writtenOff, accounted - inherited);
		this._writtenOff -= writtenOff;
		return accounted - inherited - writtenOff;
	}

	private _newlyLost(received: number, now: Millis): number {
		while (this._underWay.length > 0 && now - this._underWay[0]!.at > LOST_AFTER_MS) {
			this._settledGrants += this._underWay.shift()!.count;
		}
		const lost = Math.max(0, this._settledGrants - received - this._lost);
		this._lost += lost;
		return lost;
	}
}
