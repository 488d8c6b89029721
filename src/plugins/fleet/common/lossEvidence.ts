/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Decides how many lost runs count against a request. Targets that stop together, for instance with their data hall, may have been
 * executing the same request, and are evidence against it only once: what counts is the longest sequence of runs of which each was sent
 * after the one before had ended. It depends on the reported runs only, not on the order in which the reports arrive.
 */

import type { Millis } from '../../../base/clock.js';
import type { CountedLostRun, LostRun, ReportedLostRun } from './quarantineTypes.js';

/** Number of requests tracked; above it the one without a new report for longest is evicted. */
const MAX_REQUESTS = 2048;
/** Number of lost runs kept for each request. */
const MAX_LOSSES = 48;

/** Maximum difference between the delays of two reports; a run sent this long after another one had ended was certainly sent later. */
const MAX_REPORT_SKEW_MS = 500;

/**
 * Targets that stop within this time count as one loss, even if the request was sent to the second only after the first had
 * failed. Must exceed the delay between regions, by which an instance may notice two simultaneous stops apart.
 */
const SIMULTANEOUS_LOSS_MS = 50;

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
	/** Number of runs that counted before the collection began, by digest. */
	private _earlierCounts = new Map<string, number>();
	private _startedAt = Number.NEGATIVE_INFINITY;

	/**
	 * Starts anew, on top of runs that another instance has counted. Nothing is known of their times, but that they were sent before.
	 * @param earlierCounts number of these runs by digest
	 */
	restart(earlierCounts: ReadonlyMap<string, number>, now: Millis): void {
		this._lossesByDigest.clear();
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
		const sorted = [...losses, toLoss(reported, now)].sort((a, b) => a.endedBefore - b.endedBefore);
		this._lossesByDigest.delete(digest);
		this._lossesByDigest.set(digest, sorted.length > MAX_LOSSES ? withoutMostCrowded(sorted) : sorted);
		if (this._lossesByDigest.size > MAX_REQUESTS) {
			this._lossesByDigest.delete(this._lossesByDigest.keys().next().value!);
		}
	}

	/** Drops the runs of a request that turned out not to stop its targets. */
	clear(digest: string): void {
		this._lossesByDigest.delete(digest);
		this._earlierCounts.delete(digest);
	}

	/**
	 * The lost runs to count in addition to those that are counted already.
	 * @param counted those that are counted already; they may be others than would be counted now, which changes nothing
	 */
	uncountedRuns(digest: string, counted: readonly LostRun[]): readonly CountedLostRun[] {
		const losses = this._lossesByDigest.get(digest) ?? [];
		const earlierCount = this._earlierCounts.get(digest) ?? 0;
		const all = longestSequence(losses);
		const later = longestSequence(losses.filter(({ sentAt }) => sentAt > this._startedAt));
		const sequence = earlierCount + later.length > all.length ? later : all;
		const count = Math.max(earlierCount + later.length, all.length);
		const uncounted = sequence.map(({ run }) => run).filter(run => !counted.some(other => isSameRun(run, other)));
		return uncounted.slice(0, Math.max(0, count - counted.length));
	}
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
