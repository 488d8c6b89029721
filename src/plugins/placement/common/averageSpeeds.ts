/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Average speeds of targets, for planning shares, by the work times that they report to this instance. Load: targets slow down and
 * recover several times a second, so that the slots of a region do less or more work than their number suggests.
 */

import type { Millis } from '../../../base/clock.js';

/** Time constant of a target's moving average: long enough to average changes that are faster than shares can follow. */
const TIME_CONSTANT_MS = 4000;
/** Older speeds are left out, and the target counts as the others of its region. */
const MAX_AGE_MS = 15000;
/** Number of targets from which speeds that are too old are removed. */
const PRUNE_SIZE = 1024;

interface Speed {
	value: number;
	at: Millis;
}

/** Speeds of the targets that report to this instance; 1 is usual. */
export class AverageSpeeds {
	private readonly _speeds = new Map<string, Speed>();

	/** @param workTimeFactor how long work takes at the target, relative to its usual duration */
	record(targetId: string, workTimeFactor: number, now: Millis): void {
		const reported = 1 / workTimeFactor;
		const speed = this._speeds.get(targetId);
		if (!speed || now - speed.at > MAX_AGE_MS) {
			this._speeds.set(targetId, { value: reported, at: now });
			this._prune(now);
			return;
		}
		const weight = 1 - Math.exp(-Math.max(1, now - speed.at) / TIME_CONSTANT_MS);
		speed.value += weight * (reported - speed.value);
		speed.at = now;
	}

	/** Speed of a target; undefined if it has not reported recently. */
	speedOf(targetId: string, now: Millis): number | undefined {
		const speed = this._speeds.get(targetId);
		return speed && now - speed.at <= MAX_AGE_MS ? speed.value : undefined;
	}

	private _prune(now: Millis): void {
		if (this._speeds.size < PRUNE_SIZE) {
			return;
		}
		for (const [id, { at }] of this._speeds) {
			if (now - at > MAX_AGE_MS) {
				this._speeds.delete(id);
			}
		}
	}
}
