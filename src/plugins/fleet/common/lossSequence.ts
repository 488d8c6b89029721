/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Which of the lost runs of a request are independent of each other. Targets that stop together, for instance with their data hall, may have
 * been executing the same request, and are evidence against it only once.
 */

import type { Millis } from '../../../base/clock.js';
import type { CountedLostRun, LostRun, ReportedLostRun } from './quarantineTypes.js';

/** Maximum difference between the delays of two reports; a run sent this long after an event of another report was certainly sent later. */
export const MAX_REPORT_SKEW_MS = 500;

/**
 * Targets that stop within this time count as one loss, even if the request was sent to the second only after the first had
 * failed. Must exceed the delay between regions, by which an instance may notice two simultaneous stops apart.
 */
const SIMULTANEOUS_LOSS_MS = 50;

/**
 * Lost runs of one target within this time had the same cause: until then its stop may not have been noticed by all that sent to it.
 */
export const SAME_STOP_MS = 2000;

/** Targets that stop within this time of the first one belong to one wave. */
export const WAVE_MS = 500;

/** A lost run with times on the clock of the instance that collects the evidence. */
export interface Loss {
	readonly run: CountedLostRun;
	readonly wasSuspected: boolean;
	readonly afterTargetId: string | undefined;
	readonly sentAt: Millis;
	/** The target stopped between these times. */
	readonly endedAfter: Millis;
	readonly endedBefore: Millis;
}

/** Number of stops of targets, without those together with the one before; takes the losses in the order in which they ended. */
export function countSeparateLosses(losses: readonly Loss[]): number {
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

/** Whether both are the same attempt at the same target. */
export function isSameRun(a: LostRun, b: LostRun): boolean {
	return a.requestId === b.requestId && a.targetId === b.targetId;
}

/** Converts a report that arrived at `now`. */
export function toLoss(reported: ReportedLostRun, now: Millis): Loss {
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
export function longestSequence(losses: readonly Loss[]): readonly Loss[] {
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
export function isIndependent(loss: Loss, earlier: Loss): boolean {
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

/** The losses at the most different targets that stopped within a short time, one of each target. */
export function largestWave(losses: readonly Loss[]): readonly Loss[] {
	let largest: readonly Loss[] = [];
	losses.forEach((first, index) => {
		const byTarget = new Map<string, Loss>();
		for (let i = index; i < losses.length && losses[i]!.endedBefore <= first.endedBefore + WAVE_MS; i++) {
			byTarget.set(losses[i]!.run.targetId, byTarget.get(losses[i]!.run.targetId) ?? losses[i]!);
		}
		largest = byTarget.size > largest.length ? [...byTarget.values()] : largest;
	});
	return largest;
}

/** Leaves out the loss that ended closest to the one before it, which is the least likely to be independent. */
export function withoutMostCrowded(losses: readonly Loss[]): readonly Loss[] {
	let crowdedIndex = 1;
	for (let i = 2; i < losses.length; i++) {
		const gap = (index: number): Millis => losses[index]!.endedBefore - losses[index - 1]!.endedBefore;
		crowdedIndex = gap(i) < gap(crowdedIndex) ? i : crowdedIndex;
	}
	return losses.filter((_, index) => index !== crowdedIndex);
}
