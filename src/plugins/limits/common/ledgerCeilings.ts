/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The replicated record of the ceilings of ledgers: a new leader's upper bound on credits granted by earlier leaders. */

import type { IReplicatedPart } from '../../agreement/common/replicatedState.js';
import { type Ceilings, INITIAL_CEILING_FRACTION, type ICeilings } from './creditLedger.js';

/** Id of this part of the replicated state. */
export const LEDGER_PART = 'limits';

/** Starts the ledger of a new leader. */
export interface BeginLedger {
	readonly type: 'begin';
	readonly term: number;
}

/** Changes ceilings of the ledger of a term. */
export interface SetCeilings {
	readonly type: 'ceilings';
	readonly term: number;
	readonly ceilings: Ceilings;
}

/** Records that credits granted by leaders before the given term no longer count. */
export interface SettleLedger {
	readonly type: 'settle';
	readonly term: number;
}

/** Any command of this part of the replicated state. */
export type LedgerCommand = BeginLedger | SetCeilings | SettleLedger;

interface SavedCeilings {
	readonly term?: number;
	readonly current: Ceilings;
	readonly before: readonly Ceilings[];
}

/** Applies ledger commands; must be deterministic. */
export class LedgerCeilings implements IReplicatedPart, ICeilings {
	readonly id = LEDGER_PART;
	/** Term of the current ledger; undefined before the first one. */
	private _term: number | undefined;
	private _current: Record<string, number> = {};
	/** Ceilings of earlier leaders whose credits may still be outstanding. */
	private _previous: Ceilings[] = [];

	currentCeiling(team: string, maxRequests: number): number {
		return ceilingOf(this._current, team, maxRequests);
	}

	previousCeilingSum(team: string, maxRequests: number): number {
		return this._previous.reduce((sum, ceilings) => sum + ceilingOf(ceilings, team, maxRequests), 0);
	}

	apply(body: unknown): undefined {
		const command = body as LedgerCommand;
		if (command.type === 'begin') {
			this._begin(command.term);
		} else if (command.term === this._term) {
			this._applyToCurrent(command);
		}
		return undefined;
	}

	save(): SavedCeilings {
		return { term: this._term, current: this._current, before: this._previous };
	}

	restore(saved: unknown): void {
		const { term, current, before } = saved as SavedCeilings;
		this._term = term;
		this._current = { ...current };
		this._previous = [...before];
	}

	/**
	 * A new ledger starts with the initial ceilings. If it took over the previous ones, two leader changes in quick succession would
	 * use up the capacity of teams, whose requests would be refused until the credits of both leaders have settled.
	 */
	private _begin(term: number): void {
		if (this._term !== undefined) {
			this._previous.push(this._current);
		}
		this._term = term;
		this._current = {};
	}

	private _applyToCurrent(command: SetCeilings | SettleLedger): void {
		if (command.type === 'ceilings') {
			Object.assign(this._current, command.ceilings);
		} else {
			this._previous = [];
		}
	}
}

function ceilingOf(ceilings: Ceilings, team: string, maxRequests: number): number {
	return Math.min(maxRequests, ceilings[team] ?? INITIAL_CEILING_FRACTION * maxRequests);
}
