/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** When the requests of a team were let through, for as long as a window looks back. */

import type { Millis } from '../../../base/clock.js';

/** Requests within this time share an entry. */
const STEP_MS = 100;

interface Entry {
	/** The end of its step: no request of it was let through later. */
	readonly at: Millis;
	count: number;
}

/** Counts of the last window. */
export class SpendHistory {
	private readonly _entries: Entry[] = [];
	private _total = 0;

	constructor(private readonly _windowMs: Millis) {}

	/** Requests that were let through in the window before now. */
	total(now: Millis): number {
		while (this._entries.length > 0 && this._entries[0]!.at + this._windowMs <= now) {
			this._total -= this._entries.shift()!.count;
		}
		return this._total;
	}

	/** Requests were let through by now. */
	add(count: number, now: Millis): void {
		const at = Math.ceil(now / STEP_MS) * STEP_MS;
		const last = this._entries.at(-1);
		if (last?.at === at) {
			last.count += count;
		} else {
			this._entries.push({ at, count });
		}
		this._total += count;
	}

	/** Requests that were counted have not run. The oldest ones go, which leave the window first: it is never too few. */
	remove(count: number): void {
		let left = Math.min(count, this._total);
		this._total -= left;
		while (left > 0) {
			const oldest = this._entries[0]!;
			const part = Math.min(left, oldest.count);
			oldest.count -= part;
			left -= part;
			if (oldest.count === 0) {
				this._entries.shift();
			}
		}
	}

	/** When so many of the counted requests will have left the window; infinite where there are fewer. */
	roomInMs(count: number, now: Millis): Millis {
		let freed = 0;
		for (const { at, count: leaving } of this._entries) {
			freed += leaving;
			if (freed >= count) {
				return Math.max(0, at + this._windowMs - now);
			}
		}
		return Number.POSITIVE_INFINITY;
	}
}
