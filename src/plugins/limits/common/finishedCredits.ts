/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How many credits of one ledger can no longer be spent, by team, and since when this instance knows it. */

import type { Millis } from '../../../base/clock.js';

interface Entry {
	readonly at: Millis;
	readonly count: number;
}

/** Increasing counts by team, with the local times at which they were learned; these are later than the counts became true. */
export class FinishedCredits {
	private readonly _entries = new Map<string, Entry[]>();

	/** @param _keepMs age after which only the latest count is kept */
	constructor(private readonly _keepMs: Millis) {}

	/** Records counts that are true by now. */
	record(counts: Readonly<Record<string, number>>, now: Millis): void {
		for (const [team, count] of Object.entries(counts)) {
			const entries = this._entries.get(team);
			if (!entries) {
				this._entries.set(team, [{ at: now, count }]);
				continue;
			}
			while (entries.length > 1 && entries[1]!.at < now - this._keepMs) {
				entries.shift();
			}
			entries.push({ at: now, count });
		}
	}

	/** The count that was known before a time; 0 if none was. */
	countBefore(team: string, time: Millis): number {
		return this._entries.get(team)?.reduce((known, { at, count }) => (at < time ? count : known), 0) ?? 0;
	}

	/** The latest counts. */
	latest(): Record<string, number> {
		return Object.fromEntries([...this._entries].map(([team, entries]) => [team, entries.at(-1)!.count]));
	}
}
