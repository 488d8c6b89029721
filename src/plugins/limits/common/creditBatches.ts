/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Credits in the order in which they were given, each batch with its end. Holder and ledger spend the oldest first. */

import type { Millis } from '../../../base/clock.js';

interface Batch {
	count: number;
	readonly lapsesAt: Millis;
}

/** Credits of one team at one holder. */
export class CreditBatches {
	private readonly _batches: Batch[] = [];
	private _total = 0;

	/** Credits in all batches. */
	get total(): number {
		return this._total;
	}

	/** Credits that last until then; batches are added in the order of their ends. */
	add(count: number, lapsesAt: Millis): void {
		this._batches.push({ count, lapsesAt });
		this._total += count;
	}

	/** @returns how many there were, up to the number asked for */
	remove(most: number): number {
		let left = Math.min(most, this._total);
		const removed = Math.max(0, left);
		this._total -= removed;
		while (left > 0) {
			const oldest = this._batches[0]!;
			const part = Math.min(oldest.count, left);
			oldest.count -= part;
			left -= part;
			if (oldest.count === 0) {
				this._batches.shift();
			}
		}
		return removed;
	}

	/** @returns how many have lapsed since the last call */
	dropLapsed(now: Millis): number {
		let dropped = 0;
		while (this._batches.length > 0 && now >= this._batches[0]!.lapsesAt) {
			dropped += this._batches.shift()!.count;
		}
		this._total -= dropped;
		return dropped;
	}
}
