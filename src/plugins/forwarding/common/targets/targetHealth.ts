/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Whether a target should be left alone for a while, by the requests that were sent to it (passive outlier detection).
 * One lost answer says little and moving an object is dear, so it takes a share of failures; that no connection comes up
 * says enough at once.
 */

import type { Millis } from '../../../../base/clock.js';

const FIRST_SUSPICION_MS = 400;
const LONGEST_SUSPICION_MS = 4000;
const MAX_DOUBLINGS = 4;
/** Weight of the latest request in the share of failures. */
const FAILURE_WEIGHT = 0.3;
/** Share of failures from which a target is left alone: two in a row reach it. */
const SUSPECT_SHARE = 0.45;
/** Share that a target has when it is tried again: one more failure is enough. */
const SHARE_ON_TRIAL = 0.3;
/** Weight of the latest answer in a target's usual time. */
const TIME_WEIGHT = 0.4;
/** A target that takes this many times what its service takes is slow. */
const SLOW_FACTOR = 2.5;
const LEAST_ANSWERS = 3;

/** What the requests of this instance say of one target. */
export class TargetHealth {
	private _failureShare = 0;
	private _suspicions = 0;
	private _suspectUntil: Millis = Number.NEGATIVE_INFINITY;
	private _usualMs: Millis = 0;
	private _answers = 0;
	/** Since the latest suspicion no answer has shown that the target is well. */
	private _isOnTrial = false;

	/** Whether the target should be left alone where there are others. */
	isSuspect(now: Millis): boolean {
		return now < this._suspectUntil;
	}

	/**
	 * Whether a request may go to the target. After its time alone one request of this instance at a time tries it, until an
	 * answer shows that it is well: the others would share its fate.
	 * @param inFlight requests of this instance that the target has not ended
	 */
	admits(inFlight: number, now: Millis): boolean {
		return !this.isSuspect(now) && (!this._isOnTrial || inFlight === 0);
	}

	/** Share of failures among the latest requests, 0 to 1. */
	get failureShare(): number {
		return this._failureShare;
	}

	/** What the target's latest answers took, on average. */
	get usualMs(): Millis {
		return this._usualMs;
	}

	/** No connection came up. */
	noteUnreachable(now: Millis): void {
		this._suspect(now);
	}

	/** A request was sent and brought no answer, or a failure. */
	noteFailure(now: Millis): void {
		this._failureShare += FAILURE_WEIGHT * (1 - this._failureShare);
		if (this._failureShare >= SUSPECT_SHARE) {
			this._suspect(now);
		}
	}

	/**
	 * No answer came before the time of the request was over; that says little where it had less time than answers take.
	 * @param serviceMs what the answers of the service take on average
	 */
	noteTimeOver(waitedMs: Millis, serviceMs: Millis, now: Millis): void {
		if (waitedMs > SLOW_FACTOR * serviceMs) {
			this.noteFailure(now);
		}
	}

	/**
	 * An answer came.
	 * @param serviceMs what the answers of the service take on average
	 */
	noteAnswer(durationMs: Millis, serviceMs: Millis, now: Millis): void {
		this._failureShare *= 1 - FAILURE_WEIGHT;
		this._answers++;
		this._usualMs = this._answers === 1 ? durationMs : this._usualMs + TIME_WEIGHT * (durationMs - this._usualMs);
		if (this._answers >= LEAST_ANSWERS && this._usualMs > SLOW_FACTOR * serviceMs) {
			this._suspect(now);
		} else if (!this.isSuspect(now)) {
			this._suspicions = 0;
			this._isOnTrial = this._isOnTrial && this._usualMs > SLOW_FACTOR * serviceMs;
		}
	}

	private _suspect(now: Millis): void {
		if (this.isSuspect(now)) {
			return;
		}
		const spanMs = FIRST_SUSPICION_MS * 2 ** Math.min(this._suspicions, MAX_DOUBLINGS);
		this._suspicions++;
		this._suspectUntil = now + Math.min(spanMs, LONGEST_SUSPICION_MS);
		this._failureShare = Math.min(this._failureShare, SHARE_ON_TRIAL);
		this._answers = 0;
		this._isOnTrial = true;
	}
}
