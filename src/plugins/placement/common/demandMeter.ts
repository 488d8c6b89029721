/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Estimates how many slots of a service this instance's callers need: request rate times service time. The service time is a
 * low quantile of the observed latencies, so that queueing and cold targets do not inflate the estimate.
 */

import type { Millis } from '../../../base/clock.js';

/**
 * Time constant of the moving average of the request rate. A shorter one moves objects between regions more often, away from
 * the targets that have them cached; a longer one reacts too late to surges.
 */
const RATE_TIME_CONSTANT_MS = 6000;
/** The rate of a newer meter is averaged over at least this time. */
const MIN_RATE_WINDOW_MS = 1000;
const SERVICE_TIME_QUANTILE = 0.3;
/**
 * Size of the sample of latencies. The quantile is computed from the sample, not tracked incrementally: an instance of a
 * large fleet gets only a few responses per second and needs an estimate after the first ones.
 */
const MAX_SAMPLES = 48;
/** With fewer samples the default is used, since a single response, such as one to a check, would decide. */
const MIN_SAMPLES = 5;
const DEFAULT_LATENCY_MS = 200;
/** Weight of the latest latency in the exponential moving average. */
const MEAN_SMOOTHING_FACTOR = 0.03;

/** The demand for one service. */
export class DemandMeter {
	/** Number of requests, each decayed exponentially by its age. */
	private _decayedRequests = 0;
	private _updatedAt: Millis;
	private readonly _startedAt: Millis;
	/** Ring buffer of the latest latencies. */
	private readonly _durations: Millis[] = [];
	private _responseCount = 0;
	private _serviceTimeMs: Millis | undefined;
	private _meanLatencyMs: Millis | undefined;

	constructor(now: Millis) {
		this._updatedAt = now;
		this._startedAt = now;
	}

	/** Records that a caller's request for the service arrived. */
	recordRequest(now: Millis): void {
		this._decay(now);
		this._decayedRequests++;
	}

	/** Exponential moving average of the latency. */
	get meanLatencyMs(): Millis {
		return this._meanLatencyMs ?? DEFAULT_LATENCY_MS;
	}

	/** Estimated time that a request takes without queueing: a low quantile of the latest latencies. */
	get serviceTimeMs(): Millis {
		this._serviceTimeMs ??= this._computeServiceTime();
		return this._serviceTimeMs;
	}

	/** Records the latency of a target's response. */
	recordResponse(durationMs: Millis): void {
		this._meanLatencyMs =
			this._meanLatencyMs === undefined
				? durationMs
				: this._meanLatencyMs + MEAN_SMOOTHING_FACTOR * (durationMs - this._meanLatencyMs);
		this._durations[this._responseCount % MAX_SAMPLES] = durationMs;
		this._responseCount++;
		this._serviceTimeMs = undefined;
	}

	/**
	 * Returns the number of slots that are currently needed.
	 * @param workMs time that a request occupies a slot; the estimated service time if omitted
	 */
	slots(now: Millis, workMs: Millis = this.serviceTimeMs): number {
		this._decay(now);
		const ageMs = Math.max(MIN_RATE_WINDOW_MS, now - this._startedAt);
		const effectiveWindowMs = RATE_TIME_CONSTANT_MS * (1 - Math.exp(-ageMs / RATE_TIME_CONSTANT_MS));
		return (this._decayedRequests / effectiveWindowMs) * workMs;
	}

	private _computeServiceTime(): Millis {
		if (this._responseCount < MIN_SAMPLES) {
			return DEFAULT_LATENCY_MS;
		}
		const sorted = [...this._durations].sort((a, b) => a - b);
		return sorted[Math.floor(SERVICE_TIME_QUANTILE * sorted.length)]!;
	}

	private _decay(now: Millis): void {
		this._decayedRequests *= Math.exp(-(now - this._updatedAt) / RATE_TIME_CONSTANT_MS);
		this._updatedAt = now;
	}
}
