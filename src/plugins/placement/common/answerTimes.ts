/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Estimates when targets would answer a request, and selects among an object's first targets by that. Answers the load of targets
 * that differ in speed and objectives that are shorter than a cache miss: an object stays at its first target, where it is
 * cached, unless that would answer after the objective and another one costs all requests less.
 */

import type { Millis } from '../../../base/clock.js';
import type { Candidate } from './targetChoice.js';
import type { WorkTimes } from './workProfile.js';

/** Assumed ratio of the work times without and with the object cached, until both are known. */
export const MISS_RATIO = 3.3;
/** Time to another region and back. */
const REMOTE_ROUND_TRIP_MS: Millis = 70;
/** A target is left to the requests that tell its speed if it has been slower than the service's others by this factor for long. */
const LASTING_SLOW_FACTOR = 1.5;

/**
 * Another target is selected in place of the first one only if it saves this fraction of a request's work or more. Otherwise a
 * target whose slow phase is over would get no request that tells.
 */
const MIN_SAVED_WORK = 0.1;

/** When a target would answer a request. */
export interface AnswerEstimate {
	/** Time until the answer, from now. */
	readonly timeMs: Millis;
	/** Expected duration of work at the target, relative to its usual duration. */
	readonly workTimeFactor: number;
	readonly isCached: boolean;
	/** Time for which slots of the target are taken beyond the work of a cache hit. */
	readonly extraWorkMs: Millis;
}

/** A candidate with its estimate. */
export interface TimedCandidate extends Candidate {
	readonly estimate: AnswerEstimate;
}

/** What the estimates for one request depend on. */
export interface AnswerTimesContext {
	/** Work times of the route at a target of usual speed. */
	readonly work: Pick<WorkTimes, 'hitMs' | 'missMs'>;
	/** Region of this instance. */
	readonly region: string;
	/** Time left until the deadline of the request; infinite for none. */
	readonly deadlineLeftMs: Millis;
	/** Time left until the objective of the route; may be negative. */
	readonly objectiveLeftMs: Millis;
	/** Whether this instance has recently sent a request for the object to a target. */
	isRecent(targetId: string): boolean;
	readonly now: Millis;
}

/** Estimates for one request. */
export class AnswerTimes {
	constructor(private readonly _context: AnswerTimesContext) {}

	/** @param isFirst whether the target is the first one for the object */
	estimate({ known, state }: Candidate, isFirst: boolean): AnswerEstimate {
		const { work, region, now } = this._context;
		const slots = Math.max(1, known.record.slots);
		const workTimeFactor = state.speed.factor(now);
		const isCached = isFirst || this._context.isRecent(known.record.id);
		const queued = Math.max(0, state.load(now) - slots + 1);
		const waitMs = (queued / slots) * work.hitMs * workTimeFactor;
		const workMs = (isCached ? work.hitMs : work.missMs) * workTimeFactor;
		const wayMs = known.region === region ? 0 : REMOTE_ROUND_TRIP_MS;
		return {
			timeMs: wayMs + waitMs + workMs,
			workTimeFactor,
			isCached,
			extraWorkMs: isCached ? 0 : workMs - work.hitMs * workTimeFactor
		};
	}

	/**
	 * Whether a target would likely answer only after the deadline, so that its work would be in vain. Not if too little is known
	 * of the load there.
	 * @param isFirst whether the target is the first one for the object
	 */
	isInVain(candidate: Candidate, isFirst: boolean): boolean {
		const { deadlineLeftMs, now } = this._context;
		return candidate.state.isLoadKnown(now) && this.estimate(candidate, isFirst).timeMs > deadlineLeftMs;
	}

	/** Moves targets that have been slow for long behind the others, as their objects would be late with each request. */
	orderByLastingSpeed(targets: readonly Candidate[]): Candidate[] {
		const { now } = this._context;
		const isSlow = ({ state: { speed } }: Candidate): boolean =>
			(speed.lastingFactor(now) ?? 0) > LASTING_SLOW_FACTOR * speed.service.meanFactor();
		const others = targets.filter(target => !isSlow(target));
		return others.length === targets.length ? others : [...others, ...targets.filter(isSlow)];
	}

	/**
	 * Selects one of an object's targets: the first one if it answers within the objective and the object is cached at no other,
	 * else the one that costs all requests least.
	 * @param targets targets below their utilization limits, in the order of the object
	 * @param first the first target of the object, whether or not it is below its limit; undefined for a request without an object
	 */
	select(targets: readonly Candidate[], first: Candidate | undefined): TimedCandidate | undefined {
		const timed = targets.map(candidate => ({ ...candidate, estimate: this.estimate(candidate, candidate === first) }));
		const [head, ...others] = timed;
		if (!head || others.length === 0) {
			return head;
		}
		const { isCached, timeMs } = head.estimate;
		const isTimely = isCached && timeMs <= this._context.objectiveLeftMs;
		if (isTimely && others.every(other => !other.estimate.isCached)) {
			return head;
		}
		const best = others.reduce((least, other) => (costMs(other.estimate) < costMs(least.estimate) ? other : least));
		const savedMs = costMs(head.estimate) - costMs(best.estimate);
		return savedMs >= MIN_SAVED_WORK * this._context.work.hitMs ? best : head;
	}
}

/** Time until the answer, and the time for which others wait as a cache miss takes a slot longer. */
function costMs({ timeMs, extraWorkMs }: AnswerEstimate): Millis {
	return timeMs + extraWorkMs;
}
