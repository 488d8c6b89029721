/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The replicated log in memory: the last snapshot and the entries that follow it. */

import { estimateEntryBytes } from './entrySize.js';
import { type LogEntry, type LogIndex, type Member, type Snapshot } from './agreementTypes.js';

/** Log read from disk when a replica starts. */
export interface StoredLog {
	/** Last index known to be committed; undefined if none was written. */
	readonly commit?: LogIndex;
	readonly snapshot?: Snapshot;
	readonly entries: readonly LogEntry[];
}

function sumBytes(entries: readonly LogEntry[]): number {
	return entries.reduce((sum, entry) => sum + estimateEntryBytes(entry), 0);
}

/** The last snapshot and the entries that follow it, addressed by log index. */
export class MemoryLog {
	private _snapshot?: Snapshot;
	private _entries: LogEntry[];
	private _entryBytes: number;

	constructor(stored: StoredLog) {
		this._snapshot = stored.snapshot;
		this._entries = [...stored.entries];
		this._entryBytes = sumBytes(this._entries);
	}

	get snapshot(): Snapshot | undefined {
		return this._snapshot;
	}

	/** Index before the first entry in memory: the index of the snapshot, or 0. */
	get baseIndex(): LogIndex {
		return this._snapshot?.index ?? 0;
	}

	/** Index of the last entry, or of the snapshot if no entries follow it. */
	get lastIndex(): LogIndex {
		return this.baseIndex + this._entries.length;
	}

	/** Estimated size in bytes of the entries that follow the snapshot. */
	get entryBytes(): number {
		return this._entryBytes;
	}

	/** Term at `lastIndex`. */
	get lastTerm(): number {
		return this.termAt(this.lastIndex) ?? 0;
	}

	/** Whether there is neither a snapshot nor an entry. */
	get isBlank(): boolean {
		return this.lastIndex === 0;
	}

	/** Term of the entry at an index; undefined if the entry is not in memory. */
	termAt(index: LogIndex): number | undefined {
		if (index === this.baseIndex) {
			return this._snapshot?.term ?? 0;
		}
		return this._entries[index - this.baseIndex - 1]?.term;
	}

	/** Returns up to `limit` entries, starting at an index. */
	slice(from: LogIndex, limit: number): LogEntry[] {
		const start = from - this.baseIndex - 1;
		return this._entries.slice(start, start + limit);
	}

	/** Appends entries, whose indices must continue the log. */
	append(entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			if (entry.index !== this.lastIndex + 1) {
				throw new Error(`log gap: entry ${entry.index} after ${this.lastIndex}`);
			}
			this._entries.push(entry);
			this._entryBytes += estimateEntryBytes(entry);
		}
	}

	/** Removes the entries from an index on. */
	truncateFrom(index: LogIndex): void {
		const removed = this._entries.splice(index - this.baseIndex - 1);
		this._entryBytes -= sumBytes(removed);
	}

	/** Removes the entries that a snapshot covers and keeps the rest. */
	compact(snapshot: Snapshot): void {
		this._entries = this._entries.slice(snapshot.index - this.baseIndex);
		this._entryBytes = sumBytes(this._entries);
		this._snapshot = snapshot;
	}

	/** Replaces the whole log with a snapshot. */
	reset(snapshot: Snapshot): void {
		this._snapshot = snapshot;
		this._entries = [];
		this._entryBytes = 0;
	}

	/** The latest member list, committed or not, and the index of its entry or snapshot. */
	latestMembers(): { members: readonly Member[]; index: LogIndex } {
		for (let i = this._entries.length - 1; i >= 0; i--) {
			const entry = this._entries[i]!;
			if (entry.members) {
				return { members: entry.members, index: entry.index };
			}
		}
		return { members: this._snapshot?.members ?? [], index: this.baseIndex };
	}

	/** The member list in force at an index that is in memory. */
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
