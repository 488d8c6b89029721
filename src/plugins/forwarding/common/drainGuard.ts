/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Decides whether an instance that drains may still pass a request on. */

import type { Millis } from '../../../base/clock.js';
import { RecentDurations } from './recentDurations.js';

/** Durations of attempts are remembered for one to two such windows. */
const DURATION_WINDOW_MS: Millis = 60000;
/** Time for which an answer may be later than the longest recent one of its route, or than the deadline. */
const ANSWER_MARGIN_MS: Millis = 250;

/** What the decision on a request depends on. */
export interface DrainRequest {
	readonly route: string;
	/** On the monotonic clock. */
	readonly deadline: Millis;
	/** Whether its last byte has arrived. */
	readonly isWhole: boolean;
}

/**
 * Passes requests on while this instance drains only if they can be expected to be answered before the process ends. A request needs no
 * longer than to its deadline, and usually no longer than the longest recent attempt of its route; one that is still being received
 * has no usual duration.
 */
export class DrainGuard {
	private readonly _durations: RecentDurations;
	private _endsAt = Number.POSITIVE_INFINITY;

	constructor(now: Millis) {
		this._durations = new RecentDurations(DURATION_WINDOW_MS, now);
	}

	/** @param endsAt when the process ends, on the monotonic clock */
	beginDrain(endsAt: Millis): void {
		this._endsAt = endsAt;
	}

	/** Records how long an attempt took to its answer, or at least took without one; infinite where the rest of its answer is streamed. */
	recordAttempt(route: string, durationMs: Millis, now: Millis): void {
		this._durations.record(route, durationMs, now);
	}

	/** Whether a request, or its next attempt, may be passed on now. */
	mayPassOn({ route, deadline, isWhole }: DrainRequest, now: Millis): boolean {
		const usualMs = isWhole ? this._durations.longest(route, now) : undefined;
		const answeredAt = Math.min(deadline, now + (usualMs ?? Number.POSITIVE_INFINITY));
		return answeredAt + ANSWER_MARGIN_MS <= this._endsAt;
	}
}
