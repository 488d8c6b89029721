/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Types for quarantining requests whose targets terminate while running them: reports from entry instances and the records in
 * the replicated state. An attempt whose target terminated before answering is called a lost run.
 */

import type { Millis } from '../../../base/clock.js';
import type { RequestIdentity } from './requestIdentity.js';

/** Quarantine status of a request; phases are ordered by severity. */
export enum QuarantinePhase {
	/** Fewer than two lost runs: a single one is expected whenever a target terminates for an unrelated reason. */
	Clear = 0,
	/** Two lost runs: entry instances report when it is answered, and do not retry it on their own. */
	Suspected = 1,
	/** Three lost runs: it is no longer sent to any target. */
	Quarantined = 2
}

/** A lost run as stored in the replicated state. */
export interface LostRun {
	/** Id of the caller's attempt. */
	readonly requestId: string;
	readonly targetId: string;
}

/** A request and its lost runs. */
export interface QuarantineRecord extends RequestIdentity {
	/** Team of the caller; empty for a caller of no team. */
	readonly team: string;
	/** Counted lost runs, oldest first. */
	readonly runs: readonly LostRun[];
}

/** A lost run to be counted for its request. */
export interface CountedLostRun extends RequestIdentity, LostRun {
	/** Team of the caller; empty for a caller of no team. */
	readonly team: string;
}

/** A lost run as reported by the entry instance that sent the request; times are relative to when the report is sent. */
export interface ReportedLostRun extends CountedLostRun {
	/** Whether the instance already knew the request as suspected when sending it, and so sent it after the runs counted so far. */
	readonly wasSuspected: boolean;
	/** Target of the previous lost run of the same attempt; undefined if there was none. */
	readonly afterTargetId?: string;
	/** Time since the request was sent to the target. */
	readonly sentAgoMs: Millis;
	/** Time since the termination of the target was noticed. */
	readonly endedAgoMs: Millis;
	/** Time since the target was last known to run; absent if its termination was noticed at once. */
	readonly runningAgoMs?: Millis;
	/** Time since a target last answered the request to this instance; absent if none did lately. */
	readonly answeredAgoMs?: Millis;
}

/** A lost run with times on the monotonic clock of the entry instance that observed it. */
export interface ObservedLostRun extends Omit<
	ReportedLostRun,
	'sentAgoMs' | 'endedAgoMs' | 'runningAgoMs' | 'answeredAgoMs'
> {
	/** When the request was sent to the target. */
	readonly sentAt: Millis;
	/** When the termination of the target was noticed. */
	readonly endedAt: Millis;
	/** When the target was last known to run; absent if its termination was noticed at once. */
	readonly runningAt?: Millis;
	/** When a target last answered the request to this instance; absent if none did lately. */
	readonly answeredAt?: Millis;
}

/** Converts to relative times; `now` is on the same monotonic clock as the run. */
export function toReportedRun(observed: ObservedLostRun, now: Millis): ReportedLostRun {
	const { sentAt, endedAt, runningAt, answeredAt, ...run } = observed;
	const runningAgoMs = runningAt === undefined ? undefined : now - runningAt;
	const answeredAgoMs = answeredAt === undefined ? undefined : now - answeredAt;
	return { ...run, sentAgoMs: now - sentAt, endedAgoMs: now - endedAt, runningAgoMs, answeredAgoMs };
}

/** All suspected and quarantined requests at one revision. */
export interface QuarantineSnapshot {
	/** Increases with every change; 0 before the first. */
	readonly revision: number;
	readonly records: readonly QuarantineRecord[];
}

/** An answer to a suspected request. */
export interface AnsweredRequest {
	readonly digest: string;
	/** Stays the same when the answer is reported again. */
	readonly reportId: string;
}

/** The last answer to a request before it became suspected. */
export interface EarlierAnswer extends AnsweredRequest {
	readonly agoMs: Millis;
}

/** A request that an operator releases. */
export interface ReleasedRequest {
	readonly digest: string;
	/** Runs that count against it as known to the releasing instance; it is not released if others count by then. */
	readonly runs: readonly LostRun[];
}

/** What an entry instance reports about requests. */
export interface RunReport {
	readonly endedRuns: readonly ReportedLostRun[];
	/** Suspected requests that a target answered. */
	readonly answered: readonly AnsweredRequest[];
	/** Requests that became suspected after a target had answered them. */
	readonly earlierAnswers?: readonly EarlierAnswer[];
	readonly released?: ReleasedRequest;
}

/** Number of counted lost runs from which a request is suspected. */
export const SUSPICION_THRESHOLD = 2;
/** Number from which it is quarantined; callers' contracts allow a request to terminate at most three targets. */
export const QUARANTINE_THRESHOLD = 3;

/** Derives the phase from the number of counted lost runs. */
export function phaseOf(record: Pick<QuarantineRecord, 'runs'> | undefined): QuarantinePhase {
	const count = record?.runs.length ?? 0;
	if (count < SUSPICION_THRESHOLD) {
		return QuarantinePhase.Clear;
	}
	return count < QUARANTINE_THRESHOLD ? QuarantinePhase.Suspected : QuarantinePhase.Quarantined;
}
