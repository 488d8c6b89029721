/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * How many slots of a service the callers of this instance need: their rate times what a request takes when nothing holds
 * it up. The time is a low quantile of those seen, since slow answers of a crowded or cold service say little of the need.
 */

import type { Millis } from '../../../base/clock.js';

/**
 * Time over which the rate is averaged. Objects are placed by it, and an object that moves is no longer at hand; but an
 * average that lags behind a wave leaves a region crowded. 12 s and 6 s were measured: docs/POLICY.md, round 7.
 */
const RATE_SPAN_MS = 6000;
/** Until a meter has run this long, its average is taken over this time. */
const LEAST_SPAN_MS = 1000;
const QUANTILE = 0.3;
/** Part by which one answer moves the quantile. */
const QUANTILE_STEP = 0.05;
const FIRST_GUESS_MS = 200;
/** Weight of the latest answer in the mean. */
const MEAN_WEIGHT = 0.03;

/** The need of one service. */
export class DemandMeter {
	/** Requests, each weighted by its age. */
	private _requests = 0;
	private _updatedAt: Millis;
	private readonly _startedAt: Millis;
	private _typicalMs = FIRST_GUESS_MS;
	private _meanMs: Millis | undefined;

	constructor(now: Millis) {
		this._updatedAt = now;
		this._startedAt = now;
	}

	/** A caller's request for the service came in. */
	noteRequest(now: Millis): void {
		this._decay(now);
		this._requests++;
	}

	/** What answers took on average lately. */
	get meanMs(): Millis {
		return this._meanMs ?? FIRST_GUESS_MS;
	}

	/** A target gave an answer after this long. */
	noteAnswer(durationMs: Millis): void {
		this._meanMs = this._meanMs === undefined ? durationMs : this._meanMs + MEAN_WEIGHT * (durationMs - this._meanMs);
		const direction = durationMs < this._typicalMs ? -(1 - QUANTILE) : QUANTILE;
		this._typicalMs *= 1 + QUANTILE_STEP * direction;
	}

	/** Slots needed now. */
	slots(now: Millis): number {
		this._decay(now);
		const ageMs = Math.max(LEAST_SPAN_MS, now - this._startedAt);
		const weightedMs = RATE_SPAN_MS * (1 - Math.exp(-ageMs / RATE_SPAN_MS));
		return (this._requests / weightedMs) * this._typicalMs;
	}

	private _decay(now: Millis): void {
		this._requests *= Math.exp(-(now - this._updatedAt) / RATE_SPAN_MS);
		this._updatedAt = now;
	}
}
