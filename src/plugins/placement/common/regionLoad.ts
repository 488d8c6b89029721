/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Mean utilization of a service's targets in one region, from the load that their responses report. With many instances, each
 * one contacts a given target only about once per second, so the current load of most targets is unknown. Assuming that these
 * are idle would overfill their queues under overload; they are assumed to be as utilized as the others.
 */

import type { Millis } from '../../../base/clock.js';

/** Time constant of the average: long enough for several responses, short compared to the time in which a queue fills. */
const AVERAGING_TIME_CONSTANT_MS = 400;
/** Time constant of the remembered average, for times without enough responses. */
const MEMORY_TIME_CONSTANT_MS = 1500;
/** The remembered average counts less with the time since the latest response, and no more after this one: a surge lasts seconds. */
const MEMORY_MAX_AGE_MS = 10000;
/** With a lower total weight of recent responses the mean is unknown. */
const MIN_SAMPLE_WEIGHT = 1.5;

/** Least weight of one response in the remembered average. */
const MIN_RECORD_WEIGHT = 0.1;

/** The utilization of a service's targets in one region, as observed by one instance. */
export class RegionLoad {
	private _sum = 0;
	private _weight = 0;
	private _updatedAt: Millis = 0;
	private _remembered = 0;
	private _recordedAt: Millis = Number.NEGATIVE_INFINITY;

	/**
	 * Records the utilization that a response reported for its target.
	 * @param utilization running and waiting requests per slot
	 */
	recordUtilization(utilization: number, now: Millis): void {
		this._decay(now);
		this._sum += utilization;
		this._weight++;
		const remembered = Math.exp(-(now - this._recordedAt) / MEMORY_TIME_CONSTANT_MS);
		const rest = Math.min(remembered, 1 - MIN_RECORD_WEIGHT);
		this._remembered = this._remembered * rest + utilization * (1 - rest);
		this._recordedAt = now;
	}

	/** Whether there are enough recent responses to know the mean. */
	isKnown(now: Millis): boolean {
		this._decay(now);
		return this._weight >= MIN_SAMPLE_WEIGHT;
	}

	/** Returns the mean number of requests per slot; 0 if there are too few recent responses. */
	meanUtilization(now: Millis): number {
		this._decay(now);
		return this._weight < MIN_SAMPLE_WEIGHT ? 0 : this._sum / this._weight;
	}

	/** Returns the mean number of requests per slot; where there are too few recent responses, what earlier ones reported. */
	rememberedUtilization(now: Millis): number {
		if (this.isKnown(now)) {
			return this._sum / this._weight;
		}
		return this._remembered * Math.max(0, 1 - (now - this._recordedAt) / MEMORY_MAX_AGE_MS);
	}

	private _decay(now: Millis): void {
		const decay = Math.exp(-(now - this._updatedAt) / AVERAGING_TIME_CONSTANT_MS);
		this._sum *= decay;
		this._weight *= decay;
		this._updatedAt = now;
	}
}
