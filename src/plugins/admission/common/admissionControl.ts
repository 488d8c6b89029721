/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Admission control: refuses a request at once that is not expected to complete before its deadline. Callers pass the time in. */

import type { Millis } from '../../../base/clock.js';

/** Smoothing factor of the exponential moving average of the service time. */
const SERVICE_TIME_SAMPLE_WEIGHT = 0.1;
/** Minimum retry delay that a refused request is given. */
const MIN_RETRY_AFTER_MS = 100;

/** State of the queue and the slots when a request arrives. */
export interface AdmissionInput {
	readonly now: Millis;
	readonly deadline: Millis;
	/** Queued requests of the same group. */
	readonly queuedInGroup: number;
	/** Queued requests of all groups. */
	readonly queuedTotal: number;
	/** Weight of the group divided by the total weight of the groups with queued requests; greater than 0, at most 1. */
	readonly slotShare: number;
	/** Usable slots of all targets. */
	readonly slots: number;
	/** Usable slots that no request occupies. */
	readonly freeSlots: number;
}

/** Outcome of admission control; `retryAfterMs` is the delay after which a retry may be admitted. */
export type AdmissionDecision =
	| { readonly kind: 'admit' }
	| { readonly kind: 'refuse'; readonly cause: 'queue-full' | 'deadline' | 'no-slots'; readonly retryAfterMs: Millis };

/** Decides on the requests of one service, based on its mean service time. */
export class AdmissionControl {
	private _meanServiceMs: Millis;

	/**
	 * @param _maxQueued maximum queue length
	 * @param initialServiceMs mean service time until the first sample
	 */
	constructor(
		private readonly _maxQueued: number,
		initialServiceMs: Millis
	) {
		this._meanServiceMs = initialServiceMs;
	}

	/** Moving average of the time for which a request occupies a slot, in milliseconds. */
	get meanServiceMs(): Millis {
		return this._meanServiceMs;
	}

	/** @param durationMs how long a request occupied its slot */
	recordServiceTime(durationMs: Millis): void {
		this._meanServiceMs += (durationMs - this._meanServiceMs) * SERVICE_TIME_SAMPLE_WEIGHT;
	}

	decide(input: AdmissionInput): AdmissionDecision {
		if (input.slots === 0) {
			return { kind: 'refuse', cause: 'no-slots', retryAfterMs: this._retryAfterMs(this._meanServiceMs) };
		}
		if (input.freeSlots > 0 && input.queuedTotal === 0) {
			return { kind: 'admit' };
		}
		const waitMs = this.expectedWaitMs(input);
		if (input.queuedTotal >= this._maxQueued) {
			return { kind: 'refuse', cause: 'queue-full', retryAfterMs: this._retryAfterMs(waitMs) };
		}
		if (input.now + waitMs + this._meanServiceMs > input.deadline) {
			return { kind: 'refuse', cause: 'deadline', retryAfterMs: this._retryAfterMs(waitMs) };
		}
		return { kind: 'admit' };
	}

	/** Expected queueing time if the group is served at its share of the slots. */
	expectedWaitMs(input: AdmissionInput): Millis {
		const groupSlots = Math.max(input.slots * input.slotShare, Number.EPSILON);
		return ((input.queuedInGroup + 1) * this._meanServiceMs) / groupSlots;
	}

	private _retryAfterMs(waitMs: Millis): Millis {
		return Math.ceil(Math.max(MIN_RETRY_AFTER_MS, waitMs));
	}
}
