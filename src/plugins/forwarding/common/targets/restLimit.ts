/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * How long connections to targets may rest. Some targets, or something on the way to them, forget a connection without a
 * word sooner than they say; what is sent on it next is lost, and a request that must not run twice is lost with it. A few
 * such losses at several targets shorten the rest of all connections for a while.
 */

import type { Millis } from '../../../../base/clock.js';

/** A loss this soon after sending, on a connection that had rested, says that the connection was forgotten. */
const SOON_MS = 200;
/** Connections that rested less than this are not under suspicion. */
const LEAST_REST_MS = 100;
/** Losses at so many targets within the span decide. */
const TARGETS_NEEDED = 2;
const SPAN_MS = 4000;
const CAUTIOUS_MS = 8000;
/** Part of the shortest rest that was forgotten which is still taken to be safe. */
const SAFE_PART = 0.4;

interface ForgottenConnection {
	readonly targetId: string;
	readonly restMs: Millis;
	readonly at: Millis;
}

/** Learns from losses how long connections may rest. */
export class RestLimit {
	private _forgotten: ForgottenConnection[] = [];
	private _cautiousUntil: Millis = Number.NEGATIVE_INFINITY;
	private _safeRestMs: Millis = Number.POSITIVE_INFINITY;

	/** The longest rest that is safe now; infinite where nothing speaks against any. */
	limitMs(now: Millis): Millis {
		return now < this._cautiousUntil ? this._safeRestMs : Number.POSITIVE_INFINITY;
	}

	/**
	 * A request brought nothing back on a connection that had rested.
	 * @param sentForMs time from sending to the loss
	 * @returns whether rests are shorter from now on than before
	 */
	noteLoss(targetId: string, restMs: Millis, sentForMs: Millis, now: Millis): boolean {
		if (restMs < LEAST_REST_MS || sentForMs > SOON_MS) {
			return false;
		}
		this._forgotten = this._forgotten.filter(loss => now - loss.at < SPAN_MS);
		this._forgotten.push({ targetId, restMs, at: now });
		const targets = new Set(this._forgotten.map(loss => loss.targetId));
		if (targets.size < TARGETS_NEEDED) {
			return false;
		}
		const before = this.limitMs(now);
		this._cautiousUntil = now + CAUTIOUS_MS;
		this._safeRestMs = Math.min(before, SAFE_PART * Math.min(...this._forgotten.map(loss => loss.restMs)));
		return this._safeRestMs < before;
	}
}
