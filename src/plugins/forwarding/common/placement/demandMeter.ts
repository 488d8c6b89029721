/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * How many slots of a service the callers of this instance need: their rate times what a request takes when nothing holds
 * it up. The time is a low quantile of those seen, since slow answers of a crowded or cold service say little of the need.
 */

import type { Millis } from '../../../../base/clock.js';

/**
 * Time over which the rate is averaged. Objects are placed by it, and an object that moves is no longer at hand; but an
 * average that lags behind a wave leaves a region crowded.
 */
const RATE_SPAN_MS = 6000;
/** Until a meter has run this long, its average is taken over this time. */
const LEAST_SPAN_MS = 1000;
const QUANTILE = 0.3;
/**
 * Answers that the quantile is taken of. An instance of a fleet of hundreds has a few answers a second, and has to know after
 * the first ones what a request takes, so the quantile is taken anew and does not creep.
 */
const QUANTILE_ANSWERS = 48;
/** With fewer answers a single one, which may be that of a check, would decide. */
const LEAST_ANSWERS = 5;
const FIRST_GUESS_MS = 200;
/** Weight of the latest answer in the mean. */
const MEAN_WEIGHT = 0.03;

/** The need of one service. */
export class DemandMeter {
	/** Requests, each weighted by its age. */
	private _requests = 0;
	private _updatedAt: Millis;
	private readonly _startedAt: Millis;
	/** What the latest answers took, the oldest one overwritten next. */
	private readonly _durations: Millis[] = [];
	private _answers = 0;
	private _typicalMs: Millis | undefined;
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

	/** What an answer takes where nothing holds it up: a low quantile of those seen. */
	get typicalMs(): Millis {
		this._typicalMs ??= this._quantile();
		return this._typicalMs;
	}

	/** A target gave an answer after this long. */
	noteAnswer(durationMs: Millis): void {
		this._meanMs = this._meanMs === undefined ? durationMs : this._meanMs + MEAN_WEIGHT * (durationMs - this._meanMs);
		this._durations[this._answers % QUANTILE_ANSWERS] = durationMs;
		this._answers++;
		this._typicalMs = undefined;
	}

	/** Slots needed now. */
	slots(now: Millis): number {
		this._decay(now);
		const ageMs = Math.max(LEAST_SPAN_MS, now - this._startedAt);
		const weightedMs = RATE_SPAN_MS * (1 - Math.exp(-ageMs / RATE_SPAN_MS));
		return (this._requests / weightedMs) * this.typicalMs;
	}

	private _quantile(): Millis {
		if (this._answers < LEAST_ANSWERS) {
			return FIRST_GUESS_MS;
		}
		const sorted = [...this._durations].sort((a, b) => a - b);
		return sorted[Math.floor(QUANTILE * sorted.length)]!;
	}

	private _decay(now: Millis): void {
		this._requests *= Math.exp(-(now - this._updatedAt) / RATE_SPAN_MS);
		this._updatedAt = now;
	}
}
