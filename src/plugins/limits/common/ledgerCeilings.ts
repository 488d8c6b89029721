/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The replicated record of the ceilings that ledgers keep within, so that a new leader knows how much may still be out. */

import type { IReplicatedPart } from '../../agreement/common/replicatedState.js';
import { type Ceilings, FIRST_PART, type ICeilings } from './creditLedger.js';

/** Id of this part of the replicated state. */
export const LEDGER_PART = 'limits';

/** A leader's ledger begins. */
export interface BeginLedger {
	readonly type: 'begin';
	readonly term: number;
}

/** The ledger of a term keeps within other ceilings from now on. */
export interface SetCeilings {
	readonly type: 'ceilings';
	readonly term: number;
	readonly ceilings: Ceilings;
}

/** Nothing is out any more of what leaders before the one of a term gave. */
export interface SettleLedger {
	readonly type: 'settle';
	readonly term: number;
}

/** Any command of this part. */
export type LedgerCommand = BeginLedger | SetCeilings | SettleLedger;

interface SavedCeilings {
	readonly term?: number;
	readonly current: Ceilings;
	readonly before: readonly Ceilings[];
}

/** Applies ledger commands; deterministic. */
export class LedgerCeilings implements IReplicatedPart, ICeilings {
	readonly id = LEDGER_PART;
	/** Term of the ledger in force; undefined before the first one. */
	private _term: number | undefined;
	private _current: Record<string, number> = {};
	/** Those of the leaders before whose credits may still be out. */
	private _before: Ceilings[] = [];

	current(team: string, most: number): number {
		return ceilingOf(this._current, team, most);
	}

	before(team: string, most: number): number {
		return this._before.reduce((sum, ceilings) => sum + ceilingOf(ceilings, team, most), 0);
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
		return { term: this._term, current: this._current, before: this._before };
	}

	restore(saved: unknown): void {
		const { term, current, before } = saved as SavedCeilings;
		this._term = term;
		this._current = { ...current };
		this._before = [...before];
	}

	/**
	 * A new ledger begins with the first ceilings. With those of the one before, a leader that lasted for a moment left its
	 * successor nothing: after a loss of all power teams were refused for as long as credits of both might be out.
	 */
	private _begin(term: number): void {
		if (this._term !== undefined) {
			this._before.push(this._current);
		}
		this._term = term;
		this._current = {};
	}

	private _applyToCurrent(command: SetCeilings | SettleLedger): void {
		if (command.type === 'ceilings') {
			Object.assign(this._current, command.ceilings);
		} else {
			this._before = [];
		}
	}
}

function ceilingOf(ceilings: Ceilings, team: string, most: number): number {
	return Math.min(most, ceilings[team] ?? FIRST_PART * most);
}
