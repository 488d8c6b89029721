/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Adaptive idle timeout of connections to targets. Some targets, or network devices on the path, silently drop idle
 * connections earlier than announced; the next request on such a connection is lost, and can't be retried if it must not be
 * executed twice. Such losses at several targets reduce the idle timeout of all connections for a while.
 */

import type { Millis } from '../../../base/clock.js';

/** A reused connection that is lost within this time after sending is taken to have been dropped while it was idle. */
const MAX_TIME_TO_LOSS_MS = 200;
/** Losses on connections that were idle for less than this are ignored. */
const MIN_IDLE_MS = 100;
/** Number of targets with a loss within the window from which the timeout is reduced. */
const MIN_AFFECTED_TARGETS = 2;
const LOSS_WINDOW_MS = 4000;
const REDUCED_TIMEOUT_MS = 8000;
/** The reduced timeout as a fraction of the shortest idle time with a loss. */
const IDLE_TIMEOUT_FACTOR = 0.4;

interface IdleConnectionLoss {
	readonly targetId: string;
	readonly idleMs: Millis;
	readonly at: Millis;
}

/** Derives the idle timeout of connections from losses on reused connections. */
export class AdaptiveIdleTimeout {
	private _losses: IdleConnectionLoss[] = [];
	private _reducedUntil: Millis = Number.NEGATIVE_INFINITY;
	private _reducedMaxIdleMs: Millis = Number.POSITIVE_INFINITY;

	/** The idle timeout in force; infinite if it is not reduced. */
	maxIdleMs(now: Millis): Millis {
		return now < this._reducedUntil ? this._reducedMaxIdleMs : Number.POSITIVE_INFINITY;
	}

	/**
	 * Records that a request got no response on a connection that had been idle.
	 * @param timeToLossMs time from sending to the loss
	 * @returns whether the idle timeout has become shorter
	 */
	recordLoss(targetId: string, idleMs: Millis, timeToLossMs: Millis, now: Millis): boolean {
		if (idleMs < MIN_IDLE_MS || timeToLossMs > MAX_TIME_TO_LOSS_MS) {
			return false;
		}
		this._losses = this._losses.filter(loss => now - loss.at < LOSS_WINDOW_MS);
		this._losses.push({ targetId, idleMs, at: now });
		const targets = new Set(this._losses.map(loss => loss.targetId));
		if (targets.size < MIN_AFFECTED_TARGETS) {
			return false;
		}
		const before = this.maxIdleMs(now);
		this._reducedUntil = now + REDUCED_TIMEOUT_MS;
		this._reducedMaxIdleMs = Math.min(before, IDLE_TIMEOUT_FACTOR * Math.min(...this._losses.map(loss => loss.idleMs)));
		return this._reducedMaxIdleMs < before;
	}
}
