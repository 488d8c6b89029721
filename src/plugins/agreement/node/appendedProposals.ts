/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Proposals whose entries were appended to the log and are not applied yet. */

import { OutcomeUnknownError } from '../common/agreement.js';
import type { LogEntry, LogIndex } from '../common/agreementTypes.js';
import type { PartCommand } from '../common/replicatedState.js';

/** A proposed command and the callbacks of its promise. */
export interface Proposal {
	readonly command: PartCommand;
	resolve(result: unknown): void;
	reject(error: Error): void;
}

interface AppendedProposal extends Proposal {
	/** Term of the entry; if another entry is committed at its index, the outcome is unknown. */
	readonly term: number;
}

/** The appended proposals of one replica, by the index of their entries. */
export class AppendedProposals {
	private readonly _proposals = new Map<LogIndex, AppendedProposal>();

	/** Adds proposals whose entries have consecutive indexes in the given term. */
	add(proposals: readonly Proposal[], firstIndex: LogIndex, term: number): void {
		proposals.forEach((proposal, i) => this._proposals.set(firstIndex + i, { ...proposal, term }));
	}

	/**
	 * Settles the proposal at the index of a committed entry.
	 * @param result what applying the entry returned
	 */
	settle(entry: LogEntry, result: unknown): void {
		const proposal = this._proposals.get(entry.index);
		if (!proposal) {
			return;
		}
		this._proposals.delete(entry.index);
		if (proposal.term === entry.term) {
			proposal.resolve(result);
		} else {
			proposal.reject(new OutcomeUnknownError());
		}
	}

	/** Rejects the proposal at the index of an entry that cannot be applied. */
	reject(entry: LogEntry, error: Error): void {
		this._proposals.get(entry.index)?.reject(error);
		this._proposals.delete(entry.index);
	}

	/** Rejects all proposals: whether their entries will be committed is unknown. */
	rejectAll(): void {
		for (const proposal of this._proposals.values()) {
			proposal.reject(new OutcomeUnknownError());
		}
		this._proposals.clear();
	}
}
