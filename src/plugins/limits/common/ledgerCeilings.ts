/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The replicated record of the ceilings of ledgers: a new leader's upper bound on what credits of earlier leaders may still add to a
 * window. A ceiling bounds the credits that a ledger issues in its whole term. Each change of a ceiling also records how many of them
 * could no longer be spent by then; once that is a window ago, these no longer count. It records a bound on the usage as well, which
 * limits what counts even if nothing is known to be a window ago.
 */

import type { Millis } from '../../../base/clock.js';
import { ownValue } from '../../../base/records.js';
import type { IReplicatedPart } from '../../agreement/common/replicatedState.js';
import { type Ceilings, INITIAL_CEILING_FRACTION, type ICeilings } from './creditLedger.js';
import { FinishedCredits } from './finishedCredits.js';
import { type ILimitPolicy, settlementMs } from './limitPolicy.js';

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
	/** Credits that can no longer be spent, by team, when the command was proposed; absent counts as 0. */
	readonly finished?: Ceilings;
	/** Bounds on the usage, by team; absent counts as unbounded. */
	readonly usageBounds?: Ceilings;
}

/** Records that credits granted by leaders before the given term no longer count. */
export interface SettleLedger {
	readonly type: 'settle';
	readonly term: number;
}

/** Any command of this part of the replicated state. */
export type LedgerCommand = BeginLedger | SetCeilings | SettleLedger;

/** The ceilings of one ledger. */
interface LedgerRecord {
	readonly ceilings: Record<string, number>;
	/** Bounds on the usage: credits spent in the window before each grant, plus outstanding ones. */
	readonly usageBounds: Record<string, number>;
	readonly finished: FinishedCredits;
	/** When this instance learned that the ledger had ended; its leader granted nothing later. */
	readonly endedAt: Millis;
}

interface SavedCeilings {
	readonly term?: number;
	readonly current: Ceilings;
	readonly before: readonly Ceilings[];
	readonly finished?: Ceilings;
	readonly finishedBefore?: readonly Ceilings[];
	readonly usageBounds?: Ceilings;
	readonly usageBoundsBefore?: readonly Ceilings[];
}

/** Applies ledger commands. What it replicates is deterministic; the times at which it learned of it are local. */
export class LedgerCeilings implements IReplicatedPart, ICeilings {
	readonly id = LEDGER_PART;
	/** Term of the current ledger; undefined before the first one. */
	private _term: number | undefined;
	private _current: LedgerRecord;
	/** Ceilings of earlier leaders whose credits may still be outstanding. */
	private _previous: LedgerRecord[] = [];

	constructor(
		private readonly _policy: ILimitPolicy,
		private readonly _now: () => Millis
	) {
		this._current = this._createRecord();
	}

	currentCeiling(team: string, maxRequests: number): number {
		return ceilingOf(this._current, team, maxRequests);
	}

	currentUsageBound(team: string): number {
		return usageBoundOf(this._current, team);
	}

	previousCredits(team: string, maxRequests: number): number {
		const windowStart = this._now() - this._policy.windowMs;
		const settledBefore = this._now() - settlementMs(this._policy);
		return this._previous
			.filter(({ endedAt }) => endedAt > settledBefore)
			.map(record =>
				Math.min(
					ceilingOf(record, team, maxRequests) - record.finished.countBefore(team, windowStart),
					usageBoundOf(record, team)
				)
			)
			.reduce((sum, count) => sum + Math.max(0, count), 0);
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
		return {
			term: this._term,
			current: this._current.ceilings,
			before: this._previous.map(({ ceilings }) => ceilings),
			finished: this._current.finished.latest(),
			finishedBefore: this._previous.map(({ finished }) => finished.latest()),
			usageBounds: this._current.usageBounds,
			usageBoundsBefore: this._previous.map(({ usageBounds }) => usageBounds)
		};
	}

	restore(saved: unknown): void {
		const { term, current, before, finished, finishedBefore, usageBounds, usageBoundsBefore } = saved as SavedCeilings;
		this._term = term;
		this._current = this._createRecord(current, finished, usageBounds);
		this._previous = before.map((ceilings, i) =>
			this._createRecord(ceilings, finishedBefore?.[i], usageBoundsBefore?.[i])
		);
	}

	/**
	 * A new ledger starts with the initial ceilings. If it took over the previous ones, two leader changes in quick succession would
	 * use up the capacity of teams, whose requests would be refused until the credits of both leaders have settled. The start of an
	 * earlier ledger, or of this one again, changes nothing.
	 */
	private _begin(term: number): void {
		if (this._term !== undefined && term <= this._term) {
			return;
		}
		if (this._term !== undefined) {
			this._previous.push({ ...this._current, endedAt: this._now() });
		}
		this._term = term;
		this._current = this._createRecord();
	}

	private _applyToCurrent(command: SetCeilings | SettleLedger): void {
		if (command.type === 'ceilings') {
			Object.assign(this._current.ceilings, command.ceilings);
			Object.assign(this._current.usageBounds, command.usageBounds);
			this._current.finished.record(command.finished ?? {}, this._now());
		} else {
			this._previous = [];
		}
	}

	private _createRecord(ceilings: Ceilings = {}, finished: Ceilings = {}, usageBounds: Ceilings = {}): LedgerRecord {
		const record = {
			ceilings: { ...ceilings },
			usageBounds: { ...usageBounds },
			finished: new FinishedCredits(this._policy.windowMs),
			endedAt: this._now()
		};
		record.finished.record(finished, this._now());
		return record;
	}
}

function ceilingOf({ ceilings }: LedgerRecord, team: string, maxRequests: number): number {
	return ownValue(ceilings, team) ?? INITIAL_CEILING_FRACTION * maxRequests;
}

function usageBoundOf({ usageBounds }: LedgerRecord, team: string): number {
	return ownValue(usageBounds, team) ?? Number.POSITIVE_INFINITY;
}
