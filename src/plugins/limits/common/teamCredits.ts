/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The credits that one entry instance holds of one team, and what it asks for next. */

import type { Millis } from '../../../base/clock.js';
import { CREDIT_LIFE_MS, SILENCE_MS, STANDING_MS } from './limitTerms.js';
import type { CreditAsk, CreditGrant } from './limitWire.js';

/** Time over which the rate of requests is averaged. */
const RATE_SPAN_MS = 3000;
/** Credits are asked for this time ahead: a renewal and its answer. */
const AHEAD_MS = 1500;
/** The same for a team whose requests come seldom. */
const LEAST_AHEAD = 0.5;
/** A team without a request for this long gives its credits back. */
const IDLE_MS = 3000;
/** Most that a standing rate saves up, and at least one request. */
const STANDING_SAVED_MS = 1000;

/** Credits of one team at one instance. */
export class TeamCredits {
	private _credits = 0;
	private _lapsesAt: Millis = Number.NEGATIVE_INFINITY;
	/** When the renewal was sent that was answered last. */
	private _answeredFrom: Millis = Number.NEGATIVE_INFINITY;
	private _standing = 0;
	/** Requests that the standing rate has saved up. */
	private _saved = 0;
	private _savedAt: Millis = 0;
	private _minted = 0;
	private _needsAnswered = 0;
	private _requests = 0;
	private _countedAt: Millis = 0;
	private _requestedAt: Millis = Number.NEGATIVE_INFINITY;

	/** Requests that wait for a credit and have not been asked for. */
	waiting = 0;
	/** Until then nothing is asked for requests that find no credit. */
	emptyUntil: Millis = Number.NEGATIVE_INFINITY;

	/** A request of the team came. */
	noteRequest(now: Millis): void {
		this._decay(now);
		this._requests++;
		this._requestedAt = now;
	}

	/** Spends a credit, or one request of the standing rate where control has been silent. */
	take(now: Millis): boolean {
		if (this._holds(now)) {
			this._credits--;
			return true;
		}
		this._save(now);
		if (this._saved < 1) {
			return false;
		}
		this._saved--;
		this._minted++;
		return true;
	}

	/** A credit was not used. */
	giveBack(): void {
		this._credits++;
	}

	/** Whether there is nothing to say of the team. */
	isIdle(now: Millis): boolean {
		return now - this._requestedAt > IDLE_MS && this._minted === 0 && !this._holds(now) && this.waiting === 0;
	}

	/** What to say in the next renewal. Credits that are given back are no longer held. */
	ask(team: string, now: Millis): CreditAsk {
		this._decay(now);
		const held = this._holds(now) ? this._credits : 0;
		const perSecond = (this._requests / RATE_SPAN_MS) * 1000;
		const isIdle = now - this._requestedAt > IDLE_MS;
		const wanted = isIdle ? 0 : Math.ceil((perSecond * AHEAD_MS) / 1000 + LEAST_AHEAD);
		const returned = Math.max(0, held - 2 * wanted);
		this._credits = held - returned;
		const needsAnswered = this._needsAnswered;
		return { team, held: held - returned, returned, minted: this._minted, needsAnswered, wanted, perSecond };
	}

	/**
	 * Takes the answer to an ask.
	 * @param sentAt when the ask was made
	 */
	takeGrant(ask: CreditAsk, { granted, standing }: CreditGrant, sentAt: Millis): void {
		this._credits += granted;
		this._lapsesAt = sentAt + CREDIT_LIFE_MS;
		this._answeredFrom = sentAt;
		this._standing = standing;
		this._saved = 0;
		this._savedAt = sentAt + SILENCE_MS;
		this._minted -= ask.minted;
	}

	/**
	 * Takes what was given to requests that waited.
	 * @param sentAt when it was asked for
	 */
	add(granted: number, sentAt: Millis): void {
		if (granted > 0) {
			this._needsAnswered++;
			this._credits = (sentAt < this._lapsesAt ? this._credits : 0) + granted;
			this._lapsesAt = Math.max(this._lapsesAt, sentAt + CREDIT_LIFE_MS);
		}
	}

	/** A table gave the team less than before: what is held shrinks alike. */
	shrink(part: number): void {
		this._credits = Math.floor(this._credits * part);
		this._standing *= part;
	}

	private _holds(now: Millis): boolean {
		if (now >= this._lapsesAt) {
			this._credits = 0;
		}
		return this._credits >= 1;
	}

	private _save(now: Millis): void {
		const until = Math.min(now, this._answeredFrom + STANDING_MS);
		const spanMs = Math.max(0, until - this._savedAt);
		if (spanMs > 0) {
			const most = Math.max(1, (this._standing * STANDING_SAVED_MS) / 1000);
			this._saved = Math.min(most, this._saved + (this._standing * spanMs) / 1000);
			this._savedAt = until;
		}
		if (now > this._answeredFrom + STANDING_MS) {
			this._saved = 0;
		}
	}

	private _decay(now: Millis): void {
		this._requests *= Math.exp(-(now - this._countedAt) / RATE_SPAN_MS);
		this._countedAt = now;
	}
}
