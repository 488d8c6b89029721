/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The limit that one life of a target names for all instances together, as far as this instance knows. */

import type { Millis } from '../../../../base/clock.js';

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

/** A limit, and since when it is known. */
export class TargetLimit {
	private _perSecond: number | undefined;
	private _knownSince: Millis = Number.NEGATIVE_INFINITY;

	/** Requests a second that the target takes from all instances together; undefined where it names no limit. */
	get perSecond(): number | undefined {
		return this._perSecond;
	}

	/** Since when the limit, or that there is none, is known. */
	get knownSince(): Millis {
		return this._knownSince;
	}

	/**
	 * Takes the word of an answer in. Answers overtake each other: a higher limit, or none, counts only where its request was sent when
	 * the lower one was known here.
	 * @returns undefined where it changes nothing
	 */
	hear({ perSecond, askedAt }: LimitWord, now: Millis): LimitChange | undefined {
		const change = changeOf(this._perSecond, perSecond);
		const isHigher = change === LimitChange.Raised || change === LimitChange.Ended;
		if (change === undefined || (isHigher && askedAt <= this._knownSince)) {
			return undefined;
		}
		this._perSecond = perSecond;
		this._knownSince = now;
		return change;
	}
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
