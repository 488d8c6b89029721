/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Checks the safety invariants of agreement over all replicas of the model. */

import assert from 'node:assert/strict';
import type { AgreementCore } from '../common/agreementCore.js';
import { EntryKind, type LogEntry } from '../common/agreementTypes.js';

/** What all replicas have committed and who led, to compare with what each replica does. */
export class SafetyInvariants {
	private readonly _committed = new Map<number, string>();
	private readonly _leaders = new Map<number, string>();
	private _maxCommittedIndex = 0;

	/** Highest index that any replica has applied as committed. */
	get maxCommittedIndex(): number {
		return this._maxCommittedIndex;
	}

	/** No replica commits another entry at an index than the others. */
	checkCommitted(id: string, entry: LogEntry): void {
		const text = `${entry.term}:${entry.kind === EntryKind.Members ? 'members' : String(entry.command)}`;
		const expected = this._committed.get(entry.index);
		assert.equal(expected ?? text, text, `${id} commits another entry at ${entry.index}`);
		this._committed.set(entry.index, text);
		this._maxCommittedIndex = Math.max(this._maxCommittedIndex, entry.index);
	}

	/** A term has one leader. */
	checkLeader(id: string, core: AgreementCore | undefined): void {
		if (core?.role !== 'leader') {
			return;
		}
		const { term } = core;
		assert.equal(this._leaders.get(term) ?? id, id, `two leaders in term ${term}`);
		this._leaders.set(term, id);
	}

	/** A replica that may answer reads must know everything that any replica knows to be committed. */
	checkLease(id: string, core: AgreementCore, now: number): void {
		if (core.hasLease(now)) {
			assert.ok(
				core.commitIndex >= this._maxCommittedIndex,
				`${id} would answer a stale read: ${core.commitIndex} of ${this._maxCommittedIndex}`
			);
		}
	}
}
