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
import { RecentKeys } from '../../../base/recentKeys.js';
import {
	countSeparateLosses,
	isIndependent,
	isSameRun,
	largestWave,
	longestSequence,
	type Loss,
	MAX_REPORT_SKEW_MS,
	SAME_STOP_MS,
	toLoss,
	WAVE_MS,
	withoutMostCrowded
} from './lossSequence.js';
import { type CountedLostRun, type LostRun, QUARANTINE_THRESHOLD, type ReportedLostRun } from './quarantineTypes.js';

/** Number of requests tracked; above it the one without a new report for longest is evicted. */
const MAX_REQUESTS = 2048;
/** Number of lost runs kept for each request. */
const MAX_LOSSES = 48;
/** Number of targets whose lost runs are kept; above it those of the target that stopped first are no longer related to each other. */
const MAX_TARGETS = 1024;
/** Number of reported runs that are recognized when they are reported again. */
const MAX_REPORTED_RUNS = 4096;
/** Number of requests remembered for each of these targets. */
const MAX_REQUESTS_OF_TARGET = 256;

/** Time after which the decisive run counts although another request was running on the same targets. */
export const CONTESTED_DELAY_MS = 600;
/** Number of targets on which two requests must both have been lost for one to be confused with the other. */
const MIN_SHARED_TARGETS = 2;

/** Number of targets that must stop together under an unanswered request for it to be suspected. */
const MIN_SUSPICIOUS_WAVE = 3;
/** Number of targets that must stop together under an unanswered request for it to be quarantined. */
const MIN_DECISIVE_WAVE = 5;
/** A wave is no evidence if more than this many times its targets stopped beside it without running the request. */
const MAX_OTHER_STOPS = 0.25;

/** A target that stopped, and the requests that it was running. */
interface StoppedTarget {
	readonly digests: Set<string>;
	/** When its last stop was noticed. */
	readonly stoppedAt: Millis;
}

/** Collects the lost runs of requests. Does no I/O; callers pass the time. */
export class LossEvidence {
	/** Losses by digest of their request, in the order in which they ended; least recently reported request first. */
	private readonly _lossesByDigest = new Map<string, readonly Loss[]>();
	private readonly _stoppedTargets = new Map<string, StoppedTarget>();
	/** Number of losses at different times, by digest; computed when needed. */
	private readonly _lossCounts = new Map<string, number>();
	/** When a request was last answered, by digest; no run that was sent before counts. */
	private readonly _answeredAt = new Map<string, Millis>();
	/** Number of runs that counted before the collection began, by digest. */
	private _earlierCounts = new Map<string, number>();
	private _startedAt = Number.NEGATIVE_INFINITY;
	private readonly _reportedRuns = new RecentKeys(MAX_REPORTED_RUNS);

	/**
	 * Starts anew, on top of runs that another instance has counted. Nothing is known of their times, but that they were sent before.
	 * @param earlierCounts number of these runs by digest
	 */
	restart(earlierCounts: ReadonlyMap<string, number>, now: Millis): void {
		this._lossesByDigest.clear();
		this._stoppedTargets.clear();
		this._lossCounts.clear();
		this._answeredAt.clear();
		this._reportedRuns.clear();
		this._earlierCounts = new Map(earlierCounts);
		this._startedAt = now;
	}

	/** Adds a reported run; one that was reported before changes nothing, also if an answer has withdrawn it since. */
	add(reported: ReportedLostRun, now: Millis): void {
		const { digest, requestId, targetId } = reported;
		if (!this._reportedRuns.add(`${digest} ${requestId} ${targetId}`)) {
			return;
		}
		if (reported.answeredAgoMs !== undefined) {
			this.recordAnswer(digest, now - reported.answeredAgoMs);
		}
		const sorted = [...this._unansweredLosses(digest), toLoss(reported, now)].sort(
			(a, b) => a.endedBefore - b.endedBefore
		);
		this._setLosses(digest, sorted.length > MAX_LOSSES ? withoutMostCrowded(sorted) : sorted);
		this._relateToTarget(digest, reported.targetId, now - reported.endedAgoMs);
	}

	private _setLosses(digest: string, losses: readonly Loss[]): void {
		this._lossCounts.delete(digest);
		this._lossesByDigest.delete(digest);
		this._lossesByDigest.set(digest, losses);
		if (this._lossesByDigest.size > MAX_REQUESTS) {
			this._forget(this._lossesByDigest.keys().next().value!);
		}
	}

	private _relateToTarget(digest: string, targetId: string, endedAt: Millis): void {
		const earlier = this._stoppedTargets.get(targetId);
		const digests = earlier?.digests ?? new Set();
		this._stoppedTargets.delete(targetId);
		this._stoppedTargets.set(targetId, {
			digests: digests.add(digest),
			stoppedAt: Math.max(endedAt, earlier?.stoppedAt ?? endedAt)
		});
		if (digests.size > MAX_REQUESTS_OF_TARGET) {
			digests.delete(digests.values().next().value!);
		}
		if (this._stoppedTargets.size > MAX_TARGETS) {
			this._stoppedTargets.delete(this._stoppedTargets.keys().next().value!);
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
		return Math.max(earlierCount, this._countedSequence(this._unexplainedLosses(digest)).length) >= counted.length;
	}

	/** Number of lost runs of a request that were reported and not answered since. */
	lossCount(digest: string): number {
		return this._unansweredLosses(digest).length;
	}

	/** The other requests that were running on targets that stopped under a request. */
	relatedDigests(digest: string): readonly string[] {
		const targetIds = this._unansweredLosses(digest).map(({ run }) => run.targetId);
		const related = new Set(targetIds.flatMap(id => [...(this._stoppedTargets.get(id)?.digests ?? [])]));
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
		const all = this._countedSequence(losses);
		const later = this._countedSequence(losses.filter(({ sentAt }) => sentAt > this._startedAt));
		const sequence = earlierCount + later.length > all.length ? later : all;
		const count = Math.max(earlierCount + later.length, all.length);
		const uncounted = sequence.map(({ run }) => run).filter(run => !counted.some(other => isSameRun(run, other)));
		const isDelayed = count >= QUARANTINE_THRESHOLD && this._isDelayed(sequence, now);
		return uncounted.slice(0, Math.max(0, (isDelayed ? QUARANTINE_THRESHOLD - 1 : count) - counted.length));
	}

	/** Whether the decisive run does not count yet, since answers or another request that explains the losses may still be reported. */
	private _isDelayed(sequence: readonly Loss[], now: Millis): boolean {
		const decisive = sequence[QUARANTINE_THRESHOLD - 1] ?? sequence.at(-1);
		if (!decisive || now - decisive.endedBefore >= CONTESTED_DELAY_MS) {
			return false;
		}
		const before = sequence[QUARANTINE_THRESHOLD - 2];
		const isWave = before !== undefined && before !== decisive && !isIndependent(decisive, before);
		return isWave || this._isContested(decisive.run.digest);
	}

	/** Whether another request was lost with several of the same targets. */
	private _isContested(digest: string): boolean {
		const sharedCounts = new Map<string, number>();
		for (const { run, endedBefore } of this._unansweredLosses(digest)) {
			for (const other of this._stoppedTargets.get(run.targetId)?.digests ?? []) {
				if (other !== digest && this._wasLost(other, run.targetId, endedBefore)) {
					sharedCounts.set(other, (sharedCounts.get(other) ?? 0) + 1);
				}
			}
		}
		return [...sharedCounts.values()].some(count => count >= MIN_SHARED_TARGETS);
	}

	/**
	 * The losses that count. Targets that stop together are one loss, unless no other request explains them: if almost all targets that
	 * stopped at the time were running this one, and none has answered it, they count as several. Ends that were noticed late are left out,
	 * since they accuse whatever callers had abandoned before.
	 */
	private _countedSequence(losses: readonly Loss[]): readonly Loss[] {
		const sequence = longestSequence(losses);
		const wave = largestWave(losses.filter(({ endedAfter, endedBefore }) => endedAfter === endedBefore));
		if (wave.length < MIN_SUSPICIOUS_WAVE || sequence.length >= QUARANTINE_THRESHOLD || this._hasOtherStops(wave)) {
			return sequence;
		}
		const weight = wave.length < MIN_DECISIVE_WAVE ? QUARANTINE_THRESHOLD - 1 : QUARANTINE_THRESHOLD;
		const later = losses.filter(loss => wave.every(earlier => isIndependent(loss, earlier)));
		const sequenceOfWave = [...wave.slice(0, weight), ...longestSequence(later)];
		return sequenceOfWave.length > sequence.length ? sequenceOfWave : sequence;
	}

	private _hasOtherStops(wave: readonly Loss[]): boolean {
		const { digest } = wave[0]!.run;
		const from = wave[0]!.endedBefore - WAVE_MS;
		const to = wave.at(-1)!.endedBefore + WAVE_MS;
		const others = [...this._stoppedTargets.values()].filter(
			({ digests, stoppedAt }) => stoppedAt >= from && stoppedAt <= to && !digests.has(digest)
		);
		return others.length > MAX_OTHER_STOPS * wave.length;
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
		const count = this._separateLossCount(run.digest);
		for (const other of this._stoppedTargets.get(run.targetId)?.digests ?? []) {
			if (this._separateLossCount(other) > count && this._wasLost(other, run.targetId, endedBefore)) {
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

	private _separateLossCount(digest: string): number {
		let count = this._lossesByDigest.has(digest) ? this._lossCounts.get(digest) : 0;
		if (count === undefined) {
			count = countSeparateLosses(this._unansweredLosses(digest));
			this._lossCounts.set(digest, count);
		}
		return count;
	}
}
