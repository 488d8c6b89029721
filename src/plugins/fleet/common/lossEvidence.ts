/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Decides how many lost runs count against a request. Targets that stop together, for instance with their data hall, may have been
 * executing the same request, and are evidence against it only once: what counts is the longest sequence of runs of which each was sent
 * after the one before had ended. It depends on the reported runs only, not on the order in which the reports arrive.
 *
 * A target that stops under one request takes the others that it was running with it. So a lost run does not count where a request that was
 * running on that target has lost more targets; and no run counts that was sent before an answer to its request. Where several requests
 * were running on the same targets, the decisive run counts with a delay, since the reports that tell them apart may still be on their way.
 */

import type { Millis } from '../../../base/clock.js';
import { type CountedLostRun, type LostRun, QUARANTINE_THRESHOLD, type ReportedLostRun } from './quarantineTypes.js';

/** Number of requests tracked; above it the one without a new report for longest is evicted. */
const MAX_REQUESTS = 2048;
/** Number of lost runs kept for each request. */
const MAX_LOSSES = 48;
/** Number of targets whose lost runs are kept; above it those of the target that stopped first are no longer related to each other. */
const MAX_TARGETS = 1024;

/** Maximum difference between the delays of two reports; a run sent this long after an event of another report was certainly sent later. */
const MAX_REPORT_SKEW_MS = 500;

/**
 * Targets that stop within this time count as one loss, even if the request was sent to the second only after the first had
 * failed. Must exceed the delay between regions, by which an instance may notice two simultaneous stops apart.
 */
const SIMULTANEOUS_LOSS_MS = 50;

const MAX_REQUESTS_OF_TARGET = 256;
/**
 * Lost runs of one target within this time had the same cause: until then its stop may not have been noticed by all that sent to it.
 */
const SAME_STOP_MS = 2000;

/** Time after which the decisive run counts although another request was running on the same targets. */
export const CONTESTED_DELAY_MS = 600;
/** Number of targets on which two requests must both have been lost for one to be confused with the other. */
const MIN_SHARED_TARGETS = 2;

/** A lost run with times on the clock of the instance that collects the evidence. */
interface Loss {
	readonly run: CountedLostRun;
	readonly wasSuspected: boolean;
	readonly afterTargetId: string | undefined;
	readonly sentAt: Millis;
	/** The target stopped between these times. */
	readonly endedAfter: Millis;
	readonly endedBefore: Millis;
}

/** Collects the lost runs of requests. Does no I/O; callers pass the time. */
export class LossEvidence {
	/** Losses by digest of their request, in the order in which they ended; least recently reported request first. */
	private readonly _lossesByDigest = new Map<string, readonly Loss[]>();
	private readonly _digestsByTarget = new Map<string, Set<string>>();
	/** Number of losses at different times, by digest; computed when needed. */
	private readonly _lossCounts = new Map<string, number>();
	/** When a request was last answered, by digest; no run that was sent before counts. */
	private readonly _answeredAt = new Map<string, Millis>();
	/** Number of runs that counted before the collection began, by digest. */
	private _earlierCounts = new Map<string, number>();
	private _startedAt = Number.NEGATIVE_INFINITY;

	/**
	 * Starts anew, on top of runs that another instance has counted. Nothing is known of their times, but that they were sent before.
	 * @param earlierCounts number of these runs by digest
	 */
	restart(earlierCounts: ReadonlyMap<string, number>, now: Millis): void {
		this._lossesByDigest.clear();
		this._digestsByTarget.clear();
		this._lossCounts.clear();
		this._answeredAt.clear();
		this._earlierCounts = new Map(earlierCounts);
		this._startedAt = now;
	}

	/** Adds a reported run; one that was reported before changes nothing. */
	add(reported: ReportedLostRun, now: Millis): void {
		const { digest } = reported;
		const losses = this._lossesByDigest.get(digest) ?? [];
		if (losses.some(({ run }) => isSameRun(run, reported))) {
			return;
		}
		if (reported.answeredAgoMs !== undefined) {
			this.recordAnswer(digest, now - reported.answeredAgoMs);
		}
		const sorted = [...this._unansweredLosses(digest), toLoss(reported, now)].sort(
			(a, b) => a.endedBefore - b.endedBefore
		);
		this._setLosses(digest, sorted.length > MAX_LOSSES ? withoutMostCrowded(sorted) : sorted);
		this._relateToTarget(digest, reported.targetId);
	}

	private _setLosses(digest: string, losses: readonly Loss[]): void {
		this._lossCounts.delete(digest);
		this._lossesByDigest.delete(digest);
		this._lossesByDigest.set(digest, losses);
		if (this._lossesByDigest.size > MAX_REQUESTS) {
			this._forget(this._lossesByDigest.keys().next().value!);
		}
	}

	private _relateToTarget(digest: string, targetId: string): void {
		const digests = this._digestsByTarget.get(targetId) ?? new Set();
		this._digestsByTarget.delete(targetId);
		this._digestsByTarget.set(targetId, digests.add(digest));
		if (digests.size > MAX_REQUESTS_OF_TARGET) {
			digests.delete(digests.values().next().value!);
		}
		if (this._digestsByTarget.size > MAX_TARGETS) {
			this._digestsByTarget.delete(this._digestsByTarget.keys().next().value!);
		}
	}

	/** Records that a target answered a request: no run that was sent before counts any more. */
	recordAnswer(digest: string, answeredAt: Millis): void {
		if (answeredAt <= (this._answeredAt.get(digest) ?? Number.NEGATIVE_INFINITY)) {
			return;
		}
		this._answeredAt.set(digest, answeredAt);
		this._setLosses(digest, this._unansweredLosses(digest));
		if (answeredAt > this._startedAt) {
			this._earlierCounts.delete(digest);
		}
	}

	private _forget(digest: string): void {
		this._lossesByDigest.delete(digest);
		this._lossCounts.delete(digest);
		this._answeredAt.delete(digest);
	}

	/** Whether as many runs as are counted still count, after a late report of an answer or of another request on the same targets. */
	supports(digest: string, counted: readonly LostRun[]): boolean {
		const earlierCount = this._earlierCounts.get(digest) ?? 0;
		return Math.max(earlierCount, longestSequence(this._unexplainedLosses(digest)).length) >= counted.length;
	}

	/** The other requests that were running on targets that stopped under a request. */
	relatedDigests(digest: string): readonly string[] {
		const targetIds = this._unansweredLosses(digest).map(({ run }) => run.targetId);
		const related = new Set(targetIds.flatMap(id => [...(this._digestsByTarget.get(id) ?? [])]));
		related.delete(digest);
		return [...related];
	}

	/**
	 * The lost runs to count in addition to those that are counted already.
	 * @param counted those that are counted already; they may be others than would be counted now, which changes nothing
	 */
	uncountedRuns(digest: string, counted: readonly LostRun[], now: Millis): readonly CountedLostRun[] {
		const losses = this._unexplainedLosses(digest);
		const earlierCount = this._earlierCounts.get(digest) ?? 0;
		const all = longestSequence(losses);
		const later = longestSequence(losses.filter(({ sentAt }) => sentAt > this._startedAt));
		const sequence = earlierCount + later.length > all.length ? later : all;
		const count = Math.max(earlierCount + later.length, all.length);
		const uncounted = sequence.map(({ run }) => run).filter(run => !counted.some(other => isSameRun(run, other)));
		const decisive = sequence[QUARANTINE_THRESHOLD - 1] ?? sequence.at(-1);
		const maxCount = decisive && this._isContested(decisive, now) ? QUARANTINE_THRESHOLD - 1 : count;
		return uncounted.slice(0, Math.max(0, Math.min(count, maxCount) - counted.length));
	}

	/** Whether the decisive run does not count yet, since another request may be the one that stops the targets. */
	private _isContested(decisive: Loss, now: Millis): boolean {
		if (now - decisive.endedBefore >= CONTESTED_DELAY_MS) {
			return false;
		}
		const { digest } = decisive.run;
		const sharedCounts = new Map<string, number>();
		for (const { run, endedBefore } of this._unansweredLosses(digest)) {
			for (const other of this._digestsByTarget.get(run.targetId) ?? []) {
				if (other !== digest && this._wasLost(other, run.targetId, endedBefore)) {
					sharedCounts.set(other, (sharedCounts.get(other) ?? 0) + 1);
				}
			}
		}
		return [...sharedCounts.values()].some(count => count >= MIN_SHARED_TARGETS);
	}

	private _unexplainedLosses(digest: string): readonly Loss[] {
		return this._unansweredLosses(digest).filter(loss => !this._isExplainedByAnother(loss));
	}

	private _unansweredLosses(digest: string): readonly Loss[] {
		const answeredAt = this._answeredAt.get(digest) ?? Number.NEGATIVE_INFINITY;
		const isLater = ({ sentAt }: Loss): boolean => sentAt > answeredAt + MAX_REPORT_SKEW_MS;
		return (this._lossesByDigest.get(digest) ?? []).filter(isLater);
	}

	/** Whether a request that has lost more targets was running on the target when it stopped. */
	private _isExplainedByAnother({ run, endedBefore }: Loss): boolean {
		const count = this._lossCount(run.digest);
		for (const other of this._digestsByTarget.get(run.targetId) ?? []) {
			if (this._lossCount(other) > count && this._wasLost(other, run.targetId, endedBefore)) {
				return true;
			}
		}
		return false;
	}

	private _wasLost(digest: string, targetId: string, at: Millis): boolean {
		return this._unansweredLosses(digest).some(
			({ run, endedBefore }) => run.targetId === targetId && Math.abs(endedBefore - at) <= SAME_STOP_MS
		);
	}

	private _lossCount(digest: string): number {
		let count = this._lossesByDigest.has(digest) ? this._lossCounts.get(digest) : 0;
		if (count === undefined) {
			count = countSeparateLosses(this._unansweredLosses(digest));
			this._lossCounts.set(digest, count);
		}
		return count;
	}
}

/** Number of stops of targets, without those together with the one before; takes the losses in the order in which they ended. */
function countSeparateLosses(losses: readonly Loss[]): number {
	const stoppedAt = new Map<string, Millis>();
	let count = 0;
	let lastEndedAt = Number.NEGATIVE_INFINITY;
	for (const { run, endedAfter, endedBefore } of losses) {
		const isSameStop = endedBefore - (stoppedAt.get(run.targetId) ?? Number.NEGATIVE_INFINITY) <= SAME_STOP_MS;
		stoppedAt.set(run.targetId, endedBefore);
		if (!isSameStop && endedAfter >= lastEndedAt + SIMULTANEOUS_LOSS_MS) {
			count++;
			lastEndedAt = endedBefore;
		}
	}
	return count;
}

function isSameRun(a: LostRun, b: LostRun): boolean {
	return a.requestId === b.requestId && a.targetId === b.targetId;
}

function toLoss(reported: ReportedLostRun, now: Millis): Loss {
	const { digest, pathHash, team, requestId, targetId, wasSuspected, afterTargetId, sentAgoMs, endedAgoMs } = reported;
	return {
		run: { digest, pathHash, team, requestId, targetId },
		wasSuspected,
		afterTargetId,
		sentAt: now - sentAgoMs,
		endedAfter: now - (reported.runningAgoMs ?? endedAgoMs),
		endedBefore: now - endedAgoMs
	};
}

/** The longest sequence in which each loss is independent of the one before. */
function longestSequence(losses: readonly Loss[]): readonly Loss[] {
	const sequences: (readonly Loss[])[] = [];
	let longest: readonly Loss[] = [];
	losses.forEach((loss, index) => {
		let before: readonly Loss[] = [];
		for (let i = 0; i < index; i++) {
			if (sequences[i]!.length > before.length && isIndependent(loss, losses[i]!)) {
				before = sequences[i]!;
			}
		}
		sequences.push([...before, loss]);
		longest = before.length + 1 > longest.length ? sequences[index]! : longest;
	});
	return longest;
}

/**
 * Whether a run was sent after an earlier loss. If it is the next attempt of the same request, or was sent while the request
 * was already suspected, that is known without comparing times, and only simultaneous stops are excluded.
 */
function isIndependent(loss: Loss, earlier: Loss): boolean {
	if (loss.sentAt >= earlier.endedBefore + MAX_REPORT_SKEW_MS) {
		return true;
	}
	const isNextAttempt = loss.run.requestId === earlier.run.requestId && loss.afterTargetId === earlier.run.targetId;
	const isOtherTarget = loss.run.targetId !== earlier.run.targetId;
	return (
		(isNextAttempt || (loss.wasSuspected && isOtherTarget)) &&
		loss.endedAfter >= earlier.endedBefore + SIMULTANEOUS_LOSS_MS
	);
}

/** Leaves out the loss that ended closest to the one before it, which is the least likely to be independent. */
function withoutMostCrowded(losses: readonly Loss[]): readonly Loss[] {
	let crowdedIndex = 1;
	for (let i = 2; i < losses.length; i++) {
		const gap = (index: number): Millis => losses[index]!.endedBefore - losses[index - 1]!.endedBefore;
		crowdedIndex = gap(i) < gap(crowdedIndex) ? i : crowdedIndex;
	}
	return losses.filter((_, index) => index !== crowdedIndex);
}
