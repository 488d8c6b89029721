/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Credits grouped by the time at which they expire. Holders and the ledger both consume the oldest batch first. */

import type { Millis } from '../../../base/clock.js';

interface Batch {
	count: number;
	readonly expiresAt: Millis;
}

/** The credits of one team at one holder. */
export class CreditBatches {
	private readonly _batches: Batch[] = [];
	private _total = 0;

	/** Number of credits in all batches. */
	get total(): number {
		return this._total;
	}

	/** Adds a batch. Batches must be added in the order in which they expire. */
	add(count: number, expiresAt: Millis): void {
		this._batches.push({ count, expiresAt });
		this._total += count;
	}

	/** Number of credits that expire after the given time. */
	totalExpiringAfter(time: Millis): number {
		return this._batches.reduce((sum, { count, expiresAt }) => sum + (expiresAt > time ? count : 0), 0);
	}

	/** @returns the number of credits removed, at most `maxCount` */
	removeOldest(maxCount: number): number {
		let remaining = Math.min(maxCount, this._total);
		const removed = Math.max(0, remaining);
		this._total -= removed;
		while (remaining > 0) {
			const oldest = this._batches[0]!;
			const part = Math.min(oldest.count, remaining);
			oldest.count -= part;
			remaining -= part;
			if (oldest.count === 0) {
				this._batches.shift();
			}
		}
		return removed;
	}

	/** @returns the number of credits that have expired since the last call */
	dropExpired(now: Millis): number {
		let dropped = 0;
		while (this._batches.length > 0 && now >= this._batches[0]!.expiresAt) {
			dropped += this._batches.shift()!.count;
		}
		this._total -= dropped;
		return dropped;
	}
}
