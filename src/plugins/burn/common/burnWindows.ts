/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Counts of requests by outcome over sliding windows, and the error budget they use up. Pure: time is passed in. */

import type { Millis } from '../../../base/clock.js';

const SLICE_DURATION_MS = 60000;

/** A time window of the report. */
export interface BurnWindow {
	readonly name: string;
	readonly minutes: number;
}

/** Windows of the report, shortest first. */
export const BURN_WINDOWS: readonly BurnWindow[] = [
	{ name: '5m', minutes: 5 },
	{ name: '30m', minutes: 30 },
	{ name: '1h', minutes: 60 },
	{ name: '6h', minutes: 360 }
];

/** Numbers of requests of one service and group. The keys are values of a metric label. */
export interface OutcomeCounts {
	all: number;
	/** Got no response, or one with a status of 500 or above. */
	failed: number;
	/** Got a response, but later than the latency objective allows. */
	slow: number;
}

/** Outcome of a request, judged by the objectives of its service. */
export type RequestOutcome = 'good' | 'failed' | 'slow';

/** Outcomes of the requests of one service and group, counted in slices of a minute. */
export class OutcomeHistory {
	private readonly _slices = new Map<number, OutcomeCounts>();

	record(outcome: RequestOutcome, now: Millis): void {
		const currentIndex = Math.floor(now / SLICE_DURATION_MS);
		let slice = this._slices.get(currentIndex);
		if (!slice) {
			slice = { all: 0, failed: 0, slow: 0 };
			this._slices.set(currentIndex, slice);
			this._dropExpiredSlices(currentIndex);
		}
		slice.all++;
		slice.failed += outcome === 'failed' ? 1 : 0;
		slice.slow += outcome === 'slow' ? 1 : 0;
	}

	/** Counts over the last `minutes` minutes, including the current, incomplete one. */
	countLast(minutes: number, now: Millis): OutcomeCounts {
		const firstIndex = Math.floor(now / SLICE_DURATION_MS) - minutes + 1;
		const total: OutcomeCounts = { all: 0, failed: 0, slow: 0 };
		for (const [index, slice] of this._slices) {
			if (index >= firstIndex) {
				total.all += slice.all;
				total.failed += slice.failed;
				total.slow += slice.slow;
			}
		}
		return total;
	}

	private _dropExpiredSlices(currentIndex: number): void {
		const longestMinutes = BURN_WINDOWS.at(-1)!.minutes;
		for (const index of this._slices.keys()) {
			if (index <= currentIndex - longestMinutes) {
				this._slices.delete(index);
			}
		}
	}
}

/**
 * Rate at which the error budget is used up; at a rate of 1 it lasts exactly for the period of the objective.
 * @param objective minimum fraction of good requests; less than 1
 */
export function burnRate(bad: number, all: number, objective: number): number {
	return all === 0 ? 0 : bad / all / (1 - objective);
}

/** Remaining fraction of the error budget of a window, 0 to 1. */
export function budgetLeft(bad: number, all: number, objective: number): number {
	return Math.max(0, 1 - burnRate(bad, all, objective));
}
