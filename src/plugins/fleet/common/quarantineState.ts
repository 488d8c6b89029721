/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The quarantine section of the replicated state machine. Commands are applied deterministically. */

import { Emitter } from '../../../base/event.js';
import type { IReplicatedPart } from '../../agreement/common/replicatedState.js';
import type { CountedLostRun, LostRun, QuarantineSnapshot, QuarantineRecord } from './quarantineTypes.js';
import { RequestQuarantine } from './requestQuarantine.js';

/** Id of this part of the replicated state. */
export const QUARANTINE_PART = 'quarantine';

/** Records lost runs: executions during which the target terminated. */
export interface NoteRunsCommand {
	readonly type: 'noteRuns';
	readonly runs: readonly CountedLostRun[];
}

/** Clears requests that a target answered or an operator released. */
export interface ClearRequestsCommand {
	readonly type: 'clearRequests';
	readonly digests: readonly string[];
}

/** Any command of this part. */
export type QuarantineCommand = NoteRunsCommand | ClearRequestsCommand;

interface PersistedQuarantine {
	readonly revision: number;
	readonly records: readonly QuarantineRecord[];
}

/** Applies quarantine commands and keeps the resulting snapshot. */
export class QuarantineState implements IReplicatedPart {
	readonly id = QUARANTINE_PART;
	private readonly _onDidChange = new Emitter<QuarantineSnapshot>();
	/** Fires with the new snapshot when the suspected or quarantined requests change. */
	readonly onDidChange = this._onDidChange.event;
	private readonly _requests = new RequestQuarantine();
	private _snapshot: QuarantineSnapshot = { revision: 0, records: [] };

	/** The suspected and quarantined requests; the revision increases with every change. */
	get snapshot(): QuarantineSnapshot {
		return this._snapshot;
	}

	/** All requests with lost runs that count, also those that are not suspected yet. */
	get records(): readonly QuarantineRecord[] {
		return this._requests.save();
	}

	/** The lost runs that count against a request, oldest first. */
	countedRuns(digest: string): readonly LostRun[] {
		return this._requests.get(digest)?.runs ?? [];
	}

	/** @returns whether the command changed the snapshot */
	apply(body: unknown): boolean {
		const isChanged = this._execute(body as QuarantineCommand);
		if (isChanged) {
			this._publish(this._snapshot.revision + 1);
		}
		return isChanged;
	}

	save(): PersistedQuarantine {
		return { revision: this._snapshot.revision, records: this._requests.save() };
	}

	restore(saved: unknown): void {
		const { revision, records } = saved as PersistedQuarantine;
		this._requests.restore(records);
		this._publish(revision);
	}

	private _execute(command: QuarantineCommand): boolean {
		switch (command.type) {
			case 'noteRuns':
				return command.runs.filter(run => this._requests.recordRun(run)).length > 0;
			case 'clearRequests':
				return command.digests.filter(digest => this._requests.clear(digest)).length > 0;
		}
	}

	private _publish(revision: number): void {
		this._snapshot = { revision, records: this._requests.activeRecords };
		this._onDidChange.fire(this._snapshot);
	}
}
