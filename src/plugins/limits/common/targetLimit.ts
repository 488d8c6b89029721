/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The limit that one life of a target names for all instances together, as far as this instance knows. */

import type { Millis } from '../../../base/clock.js';

/** What an answer changed in what is known of a limit. */
export enum LimitChange {
	Named = 'named',
	Lowered = 'lowered',
	Raised = 'raised',
	Ended = 'ended'
}

/** What an answer says of the limit of its target. */
export interface LimitWord {
	/** Requests a second; undefined where it names none. */
	readonly perSecond: number | undefined;
	/** When the answered request may have been written, on the monotonic clock. */
	readonly askedAt: Millis;
}

/** An answer of the target itself goes before what control tells for this long. */
const OWN_WORD_MS: Millis = 1000;
/** A limit of nothing counts as this many requests a second: somebody has to ask on, or nobody would hear when it ends. */
const LEAST_PER_SECOND = 0.1;
/** Places that gather while nobody needs them: more would let a sender send more than its part of the limit in a short time. */
const MOST_PERMITS = 1;

/**
 * A limit, and this instance's permits within it. A permit is a request that may be written to the target; permits come at this instance's part
 * of the limit, so that over all instances a window holds what the limit allows and one more for each sender.
 */
export class TargetLimit {
	private _perSecond: number | undefined;
	private _knownSince: Millis = Number.NEGATIVE_INFINITY;
	/** When an answer of the target was last believed. */
	private _heardAt: Millis = Number.NEGATIVE_INFINITY;
	/** When what holds was last named, by the target or by control. */
	private _namedAt: Millis = Number.NEGATIVE_INFINITY;
	private _told: number | undefined;
	private _permits = 0;
	private _refilledAt: Millis = 0;

	/** Requests a second that the target takes from all instances together; undefined where it names no limit. */
	get perSecond(): number | undefined {
		return this._perSecond;
	}

	/** Since when the limit, or that there is none, is known. */
	get knownSince(): Millis {
		return this._knownSince;
	}

	/**
	 * Takes the word of an answer in. Answers overtake each other: a higher limit, or none, counts only where its request was sent after
	 * the lower one had last been named here.
	 * @returns undefined where it changes nothing
	 */
	hear({ perSecond, askedAt }: LimitWord, now: Millis): LimitChange | undefined {
		if (isHigher(changeOf(this._perSecond, perSecond)) && askedAt <= this._namedAt) {
			return undefined;
		}
		this._heardAt = now;
		return this._set(perSecond, now);
	}

	/**
	 * Takes in what the target's record has, where that has changed.
	 * @returns undefined where it changes nothing
	 */
	takeTold(told: number | undefined, now: Millis): LimitChange | undefined {
		if (told === this._told) {
			return undefined;
		}
		this._told = told;
		const isContradicted = now - this._heardAt < OWN_WORD_MS && isHigher(changeOf(this._perSecond, told));
		return isContradicted ? undefined : this._set(told, now);
	}

	/**
	 * Whether a request may be written to the target now.
	 * @param share this instance's part of the limit, 0 to 1
	 */
	hasPermit(share: number, now: Millis): boolean {
		return this.permitInMs(share, now) === 0;
	}

	/** Takes a permit, if there is one. */
	takePermit(share: number, now: Millis): boolean {
		const isThere = this.hasPermit(share, now);
		if (isThere && this._perSecond !== undefined) {
			this._permits--;
		}
		return isThere;
	}

	/** A permit was not used: nothing was written. */
	giveBack(): void {
		this._permits = Math.min(MOST_PERMITS, this._permits + 1);
	}

	/** When the next permit comes; 0 where there is one or no limit, infinite for an instance without a part. */
	permitInMs(share: number, now: Millis): Millis {
		if (this._perSecond === undefined) {
			return 0;
		}
		if (share === 0) {
			return Number.POSITIVE_INFINITY;
		}
		const perMs = (share * Math.max(LEAST_PER_SECOND, this._perSecond)) / 1000;
		this._permits = Math.min(MOST_PERMITS, this._permits + (now - this._refilledAt) * perMs);
		this._refilledAt = now;
		return this._permits >= 1 ? 0 : (1 - this._permits) / perMs;
	}

	private _set(perSecond: number | undefined, now: Millis): LimitChange | undefined {
		this._namedAt = now;
		const change = changeOf(this._perSecond, perSecond);
		if (change === LimitChange.Named) {
			this._permits = 0;
			this._refilledAt = now;
		}
		if (change !== undefined) {
			this._perSecond = perSecond;
			this._knownSince = now;
		}
		return change;
	}
}

function isHigher(change: LimitChange | undefined): boolean {
	return change === LimitChange.Raised || change === LimitChange.Ended;
}

function changeOf(before: number | undefined, after: number | undefined): LimitChange | undefined {
	if (before === after) {
		return undefined;
	}
	if (before === undefined) {
		return LimitChange.Named;
	}
	if (after === undefined) {
		return LimitChange.Ended;
	}
	return after < before ? LimitChange.Lowered : LimitChange.Raised;
}
