/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What this instance knows of one target by its own requests: load, health, and the pace while it is cold. */

import type { Millis } from '../../../../base/clock.js';
import type { RegionLoad } from '../placement/regionLoad.js';
import { TargetHealth } from './targetHealth.js';
import { TargetRest } from './targetRest.js';
import type { LoadWord } from './targetWord.js';

/** A load word older than this says nothing any more. */
const LOAD_WORD_AGE_MS = 1500;

/** A connection that did not come up says for this long that a target is out of reach; a new one is tried before. */
const UNREACHABLE_MS = 4000;

/** State of one target at this instance. */
export class TargetState {
	/** Whether it answers as it should. */
	readonly health = new TargetHealth();
	/** Whether it wants work from this instance. */
	readonly rest = new TargetRest();
	/** Requests of this instance that the target has not ended. */
	inFlight = 0;
	/** Whether this instance has sent it a request. */
	isUsed = false;
	/** Another target has the address now; this one will not be met again. */
	isReplaced = false;
	/** When it last answered anything; undefined for never. */
	answeredAt: Millis | undefined;
	/** When a connection last did not come up; undefined for never. */
	unreachableAt: Millis | undefined;
	private _othersLoad = 0;
	private _toldAt: Millis = Number.NEGATIVE_INFINITY;
	private _coldTokens = 1;
	private _coldTokensAt: Millis = 0;

	/** @param regionLoad what is known of the service's targets in its region */
	constructor(
		readonly id: string,
		/** The life of the target that is meant. */
		readonly bornAt: number,
		readonly slots: number,
		readonly regionLoad: RegionLoad
	) {}

	/** Whether the latest connection to it did not come up, a short time ago. */
	isUnreachable(now: Millis): boolean {
		const { unreachableAt, answeredAt } = this;
		const isRecent = unreachableAt !== undefined && now - unreachableAt <= UNREACHABLE_MS;
		return isRecent && (answeredAt === undefined || answeredAt < unreachableAt);
	}

	/**
	 * Requests at the target, those of other instances included: by its latest load word, which counts less and less, and by
	 * what the other targets of the region bear.
	 */
	load(now: Millis): number {
		const wordWeight = Math.max(0, 1 - (now - this._toldAt) / LOAD_WORD_AGE_MS);
		if (wordWeight === 0) {
			return Math.max(this.inFlight, this._usualLoad(now));
		}
		const told = this.inFlight + this._othersLoad;
		return Math.max(this.inFlight, told * wordWeight + this._usualLoad(now) * (1 - wordWeight));
	}

	private _usualLoad(now: Millis): number {
		return this.regionLoad.meanFill(now) * this.slots;
	}

	/** Takes a load word in that came with an answer; the answered request still counts as in flight. */
	takeLoadWord(word: LoadWord, now: Millis): void {
		this.regionLoad.note((word.running + word.waiting) / Math.max(1, word.slots), now);
		this._othersLoad = Math.max(0, word.running + word.waiting - Math.max(0, this.inFlight - 1));
		this._toldAt = now;
	}

	/** The target said that it is full: until it says otherwise its slots count as taken. */
	noteFull(now: Millis): void {
		this._othersLoad = Math.max(this._othersLoad, this.slots * 2);
		this._toldAt = now;
	}

	/**
	 * Takes leave to send one request to a cold target.
	 * @param perSecond this instance's part of what the target bears
	 */
	takeColdToken(perSecond: number, now: Millis): boolean {
		this._refillCold(perSecond, now);
		if (this._coldTokens < 1) {
			return false;
		}
		this._coldTokens--;
		return true;
	}

	/** Whether a request could be sent to the target while it is cold. */
	hasColdToken(perSecond: number, now: Millis): boolean {
		this._refillCold(perSecond, now);
		return this._coldTokens >= 1;
	}

	private _refillCold(perSecond: number, now: Millis): void {
		const gained = ((now - this._coldTokensAt) / 1000) * perSecond;
		this._coldTokens = Math.min(1, this._coldTokens + gained);
		this._coldTokensAt = now;
	}
}
