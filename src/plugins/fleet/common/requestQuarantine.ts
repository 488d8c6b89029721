/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Counts lost runs per request. Deterministic, since control instances apply it from the replicated log; an entry instance keeps
 * a local one as a fallback while it has no connection to the control instances.
 */

import {
	type CountedLostRun,
	phaseOf,
	QuarantinePhase,
	type QuarantineRecord,
	QUARANTINE_THRESHOLD
} from './quarantineTypes.js';

/**
 * Maximum number of records per phase. A terminating target adds a clear record for each request it was running; suspected and
 * quarantined records are copied to every entry instance. Separate limits keep records of one phase from evicting others.
 */
const MAX_RECORDS: Readonly<Record<QuarantinePhase, number>> = {
	[QuarantinePhase.Clear]: 1024,
	[QuarantinePhase.Suspected]: 128,
	[QuarantinePhase.Quarantined]: 128
};

/** The requests with lost runs. */
export class RequestQuarantine {
	/** By digest, least recently changed first. */
	private readonly _records = new Map<string, QuarantineRecord>();

	phase(digest: string): QuarantinePhase {
		return phaseOf(this._records.get(digest));
	}

	/** The record of a request; undefined if it has no lost runs. */
	get(digest: string): QuarantineRecord | undefined {
		return this._records.get(digest);
	}

	/** Suspected and quarantined requests, least recently changed first. */
	get activeRecords(): readonly QuarantineRecord[] {
		return [...this._records.values()].filter(isActive);
	}

	/** All records, least recently changed first. */
	save(): readonly QuarantineRecord[] {
		return [...this._records.values()];
	}

	/** Replaces all records. */
	restore(records: readonly QuarantineRecord[]): void {
		this._records.clear();
		records.forEach(record => this._records.set(record.digest, record));
	}

	/**
	 * Records a lost run; a run that is already recorded is ignored.
	 * @returns whether the suspected or quarantined requests changed
	 */
	recordRun(run: CountedLostRun): boolean {
		const { digest, pathHash, team, requestId, targetId } = run;
		const runs = this._records.get(digest)?.runs ?? [];
		const isRecorded = runs.some(other => other.requestId === requestId && other.targetId === targetId);
		if (isRecorded || runs.length >= QUARANTINE_THRESHOLD) {
			return false;
		}
		this._records.delete(digest);
		const record = { digest, pathHash, team, runs: [...runs, { requestId, targetId }] };
		this._records.set(digest, record);
		this._evictExcess(phaseOf(record));
		return isActive(record);
	}

	/**
	 * Removes a request that a target answered or an operator released.
	 * @returns whether the suspected or quarantined requests changed
	 */
	clear(digest: string): boolean {
		const record = this._records.get(digest);
		this._records.delete(digest);
		return record !== undefined && isActive(record);
	}

	/** Evicts records of a phase beyond its limit: each time the oldest of the team with the most records. */
	private _evictExcess(phase: QuarantinePhase): void {
		const maxRecords = MAX_RECORDS[phase];
		if (this._records.size <= maxRecords) {
			return;
		}
		const records = [...this._records.values()].filter(record => phaseOf(record) === phase);
		for (let excess = records.length - maxRecords; excess > 0; excess--) {
			const team = largestTeam(records);
			const index = records.findIndex(record => record.team === team);
			this._records.delete(records[index]!.digest);
			records.splice(index, 1);
		}
	}
}

function isActive(record: QuarantineRecord): boolean {
	return phaseOf(record) !== QuarantinePhase.Clear;
}

function largestTeam(records: readonly QuarantineRecord[]): string {
	const counts = new Map<string, number>();
	records.forEach(({ team }) => counts.set(team, (counts.get(team) ?? 0) + 1));
	return [...counts].reduce((largest, entry) => (entry[1] > largest[1] ? entry : largest))[0];
}
