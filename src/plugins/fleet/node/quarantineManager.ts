/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Handles reports of lost runs from entry instances; the leader commits them to the replicated log. */

import PQueue from 'p-queue';
import { type Millis, systemClock } from '../../../base/clock.js';
import { RecentKeys } from '../../../base/recentKeys.js';
import type { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IAgreement } from '../../agreement/common/agreement.js';
import { FleetUnavailableError } from '../common/fleetControl.js';
import { reportRunsMethod } from '../common/fleetWire.js';
import { CONTESTED_DELAY_MS, LossEvidence } from '../common/lossEvidence.js';
import { isSameRun } from '../common/lossSequence.js';
import { QUARANTINE_PART, type QuarantineCommand, type QuarantineState } from '../common/quarantineState.js';
import {
	type AnsweredRequest,
	type QuarantineSnapshot,
	type ReleasedRequest,
	phaseOf,
	QuarantinePhase,
	type RunReport,
	type ReportedLostRun,
	QUARANTINE_THRESHOLD
} from '../common/quarantineTypes.js';

const LEADER_CALL_TIMEOUT_MS = 500;
/** Maximum number of runs of one report that are logged one by one. */
const MAX_LOGGED_RUNS = 8;
/** Number of reported answers that are recognized when they are reported again. */
const MAX_HANDLED_ANSWERS = 4096;

/** Manages quarantined requests at a control instance. */
export class QuarantineManager {
	private readonly _evidence = new LossEvidence();
	/** Reports of answers that are handled in this term. */
	private readonly _handledAnswers = new RecentKeys(MAX_HANDLED_ANSWERS);
	/** Term in which this instance collects evidence as the leader. */
	private _term?: number;
	/** Runs commits one at a time: which runs to count depends on those that are counted already. */
	private readonly _commits = new PQueue({ concurrency: 1 });
	/** Requests with new evidence that no commit has taken up yet, and the commit that will. */
	private readonly _uncommitted = new Set<string>();
	private _nextCommit?: Promise<void>;
	private _loggedPhases: ReadonlyMap<string, QuarantinePhase> = new Map();

	constructor(
		private readonly _calls: IPeerCalls,
		private readonly _agreement: IAgreement,
		private readonly _state: QuarantineState,
		private readonly _log: ILogService
	) {
		_calls.handleUnary(reportRunsMethod, async ({ report, isForwarded }) => {
			const wasListed = await this._handleReport(report, isForwarded);
			return { received: true as const, wasListed };
		});
		_state.onDidChange(snapshot => this._logChanges(snapshot));
	}

	/**
	 * Releases a request from suspicion or quarantine.
	 * @returns whether it was suspected or quarantined, by the leader's state: the replica here may lag behind
	 * @throws FleetUnavailableError the leader could not be reached, could not commit, or counts runs that are not known here
	 */
	async release(digest: string): Promise<boolean> {
		const released = { digest, runs: this._state.countedRuns(digest) };
		const isKnown = await this._handleReport({ endedRuns: [], answered: [], released }, false);
		this._log.warn('request released', { task: 'fleet', digest, isKnown });
		return isKnown;
	}

	/**
	 * Commits a report if this instance is the leader, otherwise forwards it once; resolves when it is in the replicated log.
	 * @returns whether one of the answered requests was suspected or quarantined
	 * @throws FleetUnavailableError the leader could not be reached, or it could not commit
	 */
	private async _handleReport(report: RunReport, isForwarded: boolean): Promise<boolean> {
		if (this._agreement.hasLease()) {
			return this._commitReport(report);
		}
		if (isForwarded) {
			throw new FleetUnavailableError('the control instance called is not the leader');
		}
		return this._forwardToLeader(report);
	}

	private async _commitReport({ endedRuns, answered, earlierAnswers = [], released }: RunReport): Promise<boolean> {
		const now = systemClock.now();
		this._startTerm();
		endedRuns.forEach(run => this._evidence.add(run, now));
		earlierAnswers
			.filter(({ reportId }) => this._handledAnswers.add(reportId))
			.forEach(({ digest, agoMs }) => this._evidence.recordAnswer(digest, now - agoMs));
		await this._commit([...digestsOf(endedRuns), ...earlierAnswers.map(({ digest }) => digest)]);
		this._logReport(endedRuns);
		this._recountLater(endedRuns);
		return released ? this._release(released, now) : this._withdraw(answered, now);
	}

	/** Commits what now counts for some requests; all that arrive while a commit is under way share the next one. */
	private _commit(digests: readonly string[]): Promise<void> {
		digests.forEach(digest => this._uncommitted.add(digest));
		if (this._uncommitted.size === 0) {
			return Promise.resolve();
		}
		this._nextCommit ??= this._commits.add(() => this._commitAll());
		return this._nextCommit;
	}

	private async _commitAll(): Promise<void> {
		// An idle queue calls this at once, before the promise of this commit is stored.
		await Promise.resolve();
		const uncommitted = [...this._uncommitted];
		this._uncommitted.clear();
		this._nextCommit = undefined;
		await this._clearUnsupported(uncommitted);
		await this._commitUncounted(uncommitted);
	}

	/**
	 * Withdraws what counts against answered requests; an answer that is reported again withdraws nothing that was counted since.
	 * @returns whether one of the requests was suspected or quarantined
	 */
	private async _withdraw(answered: readonly AnsweredRequest[], now: Millis): Promise<boolean> {
		const unhandled = answered.filter(({ reportId }) => !this._handledAnswers.has(reportId));
		const wasListed = await this._clear(
			unhandled.map(({ digest }) => digest),
			now
		);
		unhandled.forEach(({ reportId }) => this._handledAnswers.add(reportId));
		return wasListed;
	}

	/** @returns whether the request was suspected or quarantined */
	private _release({ digest, runs }: ReleasedRequest, now: Millis): Promise<boolean> {
		if (!this._state.countedRuns(digest).every(run => runs.some(known => isSameRun(run, known)))) {
			throw new FleetUnavailableError('runs of the request are counted that the releasing instance does not know');
		}
		return this._clear([digest], now);
	}

	/** @returns whether one of the requests was suspected or quarantined */
	private async _clear(digests: readonly string[], answeredAt: Millis): Promise<boolean> {
		digests.forEach(digest => this._evidence.recordAnswer(digest, answeredAt));
		const wasListed = digests.some(digest => this._isListed(digest));
		const counted = digests.filter(digest => this._state.countedRuns(digest).length > 0);
		if (counted.length > 0) {
			await this._propose({ type: 'clearRequests', digests: counted });
		}
		return wasListed;
	}

	/** Starts anew in a new term: what an earlier leader counted is in the replicated state, without times. */
	private _startTerm(): void {
		const { term } = this._agreement.status();
		if (term !== this._term) {
			this._term = term;
			this._handledAnswers.clear();
			const counts = this._state.records.map(({ digest, runs }) => [digest, runs.length] as const);
			this._evidence.restart(new Map(counts), systemClock.now());
		}
	}

	/** Counts again when the decisive runs of contested requests count; if that fails, the next report does. */
	private _recountLater(reported: readonly ReportedLostRun[]): void {
		const digests = digestsOf(reported).filter(digest => this._evidence.lossCount(digest) > 1);
		if (digests.length === 0) {
			return;
		}
		const recount = async (): Promise<void> => {
			try {
				await this._commit(digests);
			} catch (error) {
				const reason = (error as Error).message;
				this._log.warn('cannot count lost runs', { task: 'fleet', requests: digests.length, reason });
			}
		};
		setTimeout(() => void recount(), CONTESTED_DELAY_MS);
	}

	private _isQuarantined(digest: string): boolean {
		return this._state.countedRuns(digest).length >= QUARANTINE_THRESHOLD;
	}

	/** Clears requests of which more runs are counted than count now; those that do count are counted again. */
	private async _clearUnsupported(candidates: readonly string[]): Promise<void> {
		const digests = [...new Set(candidates)].filter(
			digest => !this._evidence.supports(digest, this._state.countedRuns(digest))
		);
		if (digests.length > 0) {
			await this._propose({ type: 'clearRequests', digests });
			await this._commitUncounted(digests);
		}
	}

	private async _commitUncounted(digests: readonly string[]): Promise<void> {
		const now = systemClock.now();
		const runs = digests.flatMap(digest => this._evidence.uncountedRuns(digest, this._state.countedRuns(digest), now));
		if (runs.length > 0) {
			await this._propose({ type: 'noteRuns', runs });
			const quarantined = digests.filter(digest => this._isQuarantined(digest));
			await this._clearUnsupported(quarantined.flatMap(digest => this._evidence.relatedDigests(digest)));
		}
	}

	private async _propose(body: QuarantineCommand): Promise<void> {
		try {
			await this._agreement.propose({ part: QUARANTINE_PART, body });
		} catch (error) {
			throw new FleetUnavailableError((error as Error).message);
		}
	}

	private async _forwardToLeader(report: RunReport): Promise<boolean> {
		const { leader, id, members } = this._agreement.status();
		const address = members.find(member => member.id === leader)?.address;
		if (leader === id || address === undefined) {
			throw new FleetUnavailableError('there is currently no leader');
		}
		const request = { report, isForwarded: true };
		try {
			const response = await this._calls.call(address, reportRunsMethod, request, LEADER_CALL_TIMEOUT_MS);
			return response.wasListed ?? report.answered.some(({ digest }) => this._isListed(digest));
		} catch (error) {
			throw new FleetUnavailableError((error as Error).message);
		}
	}

	private _isListed(digest: string): boolean {
		return this._state.snapshot.records.some(record => record.digest === digest);
	}

	/** Logs reported runs with the delay of the report and whether they count; the first run of a request is expected when targets stop. */
	private _logReport(reported: readonly ReportedLostRun[]): void {
		const repeated = reported.filter(({ digest }) => this._evidence.lossCount(digest) > 1);
		for (const run of repeated.slice(0, MAX_LOGGED_RUNS)) {
			const { digest, requestId, targetId: target, wasSuspected } = run;
			const isCounted = this._state.countedRuns(digest).some(other => isSameRun(run, other));
			const times = { sentAgoMs: Math.round(run.sentAgoMs), endedAgoMs: Math.round(run.endedAgoMs) };
			const fields = { task: 'fleet', digest, requestId, target, wasSuspected, isCounted, ...times };
			this._log.info('lost run reported', fields);
		}
		if (repeated.length > MAX_LOGGED_RUNS) {
			this._log.info('more lost runs reported than logged', { task: 'fleet', runs: repeated.length });
		}
	}

	private _logChanges({ records }: QuarantineSnapshot): void {
		const before = this._loggedPhases;
		this._loggedPhases = new Map(records.map(record => [record.digest, phaseOf(record)]));
		for (const record of records) {
			const phase = phaseOf(record);
			if (before.get(record.digest) !== phase) {
				const { digest, team, runs } = record;
				const message = phase === QuarantinePhase.Quarantined ? 'request quarantined' : 'request suspected';
				this._log.warn(message, { task: 'fleet', digest, team, runs });
			}
		}
		for (const digest of before.keys()) {
			if (!this._loggedPhases.has(digest)) {
				this._log.info('request no longer suspected', { task: 'fleet', digest });
			}
		}
	}
}

function digestsOf(runs: readonly ReportedLostRun[]): readonly string[] {
	return [...new Set(runs.map(({ digest }) => digest))];
}
