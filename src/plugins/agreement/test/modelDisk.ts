/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Keeps in memory what a replica of the model writes to its disk. */

import type { Effects, HardState, LogEntry, Snapshot } from '../common/agreementTypes.js';

/** The disk of a simulated replica. */
export class ModelDisk {
	hardState: HardState = { term: 0 };
	snapshot?: Snapshot;
	entries: LogEntry[] = [];
	/** Last index known to be committed at the last write. */
	commit?: number;

	constructor(public incarnation: string) {}

	/** Replaces the disk by a blank one. */
	erase(incarnation: string): void {
		this.incarnation = incarnation;
		this.hardState = { term: 0 };
		this.snapshot = undefined;
		this.entries = [];
		this.commit = undefined;
	}

	/** Writes a record of a replica's effects. */
	write(record: Effects['records'][number]): void {
		if (record.snapshot) {
			this.snapshot = record.snapshot;
			this.entries = [];
		}
		if (record.cutFrom !== undefined) {
			this.entries = this.entries.filter(entry => entry.index < record.cutFrom!);
		}
		this.entries = [...this.entries, ...(record.entries ?? [])];
		this.hardState = record.hardState ?? this.hardState;
	}
}
