/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The replicated log in memory: entries after the last snapshot. */

import { type LogEntry, type LogIndex, type Member, type Snapshot } from './agreementTypes.js';

/** What a replica finds on its disk when it starts. */
export interface StoredLog {
	/** Index up to which entries are known to be committed; absent where none was written. */
	readonly commit?: LogIndex;
	readonly snapshot?: Snapshot;
	readonly entries: readonly LogEntry[];
}

/** Entries after a snapshot, with the index arithmetic in one place. */
export class MemoryLog {
	private _snapshot?: Snapshot;
	private _entries: LogEntry[];

	constructor(stored: StoredLog) {
		this._snapshot = stored.snapshot;
		this._entries = [...stored.entries];
	}

	/** The snapshot that the log begins after. */
	get snapshot(): Snapshot | undefined {
		return this._snapshot;
	}

	/** Index of the entry before the first one held. */
	get baseIndex(): LogIndex {
		return this._snapshot?.index ?? 0;
	}

	/** Index of the last entry. */
	get lastIndex(): LogIndex {
		return this.baseIndex + this._entries.length;
	}

	/** Term of the last entry. */
	get lastTerm(): number {
		return this.termAt(this.lastIndex) ?? 0;
	}

	/** Whether nothing was ever written. */
	get isBlank(): boolean {
		return this.lastIndex === 0;
	}

	/** Term of the entry at an index; undefined when it is not held. */
	termAt(index: LogIndex): number | undefined {
		if (index === this.baseIndex) {
			return this._snapshot?.term ?? 0;
		}
		return this._entries[index - this.baseIndex - 1]?.term;
	}

	/** Entries from an index on, at most `limit`. */
	slice(from: LogIndex, limit: number): LogEntry[] {
		const start = from - this.baseIndex - 1;
		return this._entries.slice(start, start + limit);
	}

	/** Appends entries that follow the last one. */
	append(entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			if (entry.index !== this.lastIndex + 1) {
				throw new Error(`log gap: entry ${entry.index} after ${this.lastIndex}`);
			}
			this._entries.push(entry);
		}
	}

	/** Drops the entries from an index on. */
	cutFrom(index: LogIndex): void {
		this._entries.length = index - this.baseIndex - 1;
	}

	/** Takes a snapshot that covers entries held here, and drops them. */
	compact(snapshot: Snapshot): void {
		this._entries = this._entries.slice(snapshot.index - this.baseIndex);
		this._snapshot = snapshot;
	}

	/** Replaces everything by a snapshot. */
	reset(snapshot: Snapshot): void {
		this._snapshot = snapshot;
		this._entries = [];
	}

	/** The latest list of members, committed or not, and where it stands. */
	latestMembers(): { members: readonly Member[]; index: LogIndex } {
		for (let i = this._entries.length - 1; i >= 0; i--) {
			const entry = this._entries[i]!;
			if (entry.members) {
				return { members: entry.members, index: entry.index };
			}
		}
		return { members: this._snapshot?.members ?? [], index: this.baseIndex };
	}

	/** The list of members in force at an index that is held. */
	membersAt(index: LogIndex): readonly Member[] {
		for (let i = index - this.baseIndex - 1; i >= 0; i--) {
			const members = this._entries[i]?.members;
			if (members) {
				return members;
			}
		}
		return this._snapshot?.members ?? [];
	}
}
