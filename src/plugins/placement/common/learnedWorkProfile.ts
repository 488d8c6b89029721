/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Learns how long the requests of a route occupy a slot, from the times of its responses. Load: requests whose object is
 * cached take a fraction of the time of a cache miss, a few in a hundred take many times as long, and an instance of a large
 * fleet gets only a few responses a second. A mean or a single quantile follows the mix of both kinds, and so the present
 * number of moved objects; here the two kinds are told apart by the gap between them.
 */

import type { Millis } from '../../../base/clock.js';
import type { IWorkProfile, WorkTimes } from './workProfile.js';

/** Number of latest responses of a route that are kept. */
const MAX_SAMPLES = 96;
/** With fewer, one unusual response would decide. */
const MIN_SAMPLES = 12;
/** Routes beyond this number replace the one that has had no response for longest. */
const MAX_ROUTES = 256;
/** Usual ratio of a cache miss to a cache hit, for routes of which only one kind is known. */
const USUAL_MISS_RATIO = 3.3;
/** Two groups whose medians are closer than this are one kind of request with some variation. */
const MIN_MISS_RATIO = 2;
/** Beyond this ratio the slower group consists of unusually long requests. */
const MAX_MISS_RATIO = 5;
/** A smaller group consists of outliers. */
const MIN_GROUP_FRACTION = 0.08;
/** Quantile of the times of cache hits above which a response is slow. */
const SLOW_QUANTILE = 0.97;

interface Samples {
	/** Ring buffer of the latest work times. */
	readonly times: Millis[];
	count: number;
	computed: WorkTimes | undefined;
}

/** Work times of the routes that this instance serves. */
export class LearnedWorkProfile implements IWorkProfile {
	/** By service and route, the one with the latest response last. */
	private readonly _samples = new Map<string, Samples>();

	timesOf(service: string, route: string): WorkTimes | undefined {
		const samples = this._samples.get(keyOf(service, route));
		if (!samples || samples.count < MIN_SAMPLES) {
			return undefined;
		}
		samples.computed ??= computeTimes(samples.times);
		return samples.computed;
	}

	record(service: string, route: string, workMs: Millis): void {
		if (!Number.isFinite(workMs) || workMs <= 0) {
			return;
		}
		const key = keyOf(service, route);
		const samples = this._samples.get(key) ?? { times: [], count: 0, computed: undefined };
		this._samples.delete(key);
		this._samples.set(key, samples);
		samples.times[samples.count % MAX_SAMPLES] = workMs;
		samples.count++;
		samples.computed = undefined;
		if (this._samples.size > MAX_ROUTES) {
			this._samples.delete(this._samples.keys().next().value!);
		}
	}
}

function keyOf(service: string, route: string): string {
	return `${service} ${route}`;
}

function computeTimes(times: readonly Millis[]): WorkTimes {
	const sorted = [...times].sort((a, b) => a - b);
	const split = findSplit(sorted);
	const hits = sorted.slice(0, split ?? sorted.length);
	const hitMs = quantile(hits, 0.5);
	const missMs = split === undefined ? USUAL_MISS_RATIO * hitMs : quantile(sorted.slice(split), 0.5);
	return { hitMs, missMs, slowHitMs: quantile(hits, SLOW_QUANTILE) };
}

/**
 * Returns the index of the first cache miss in sorted times; undefined if they are of one kind. Of all splits into two groups
 * of sufficient size it is the one with the largest variance between the groups' logarithms.
 */
function findSplit(sorted: readonly Millis[]): number | undefined {
	const logs = sorted.map(Math.log);
	const total = logs.reduce((sum, log) => sum + log, 0);
	const minSize = Math.ceil(MIN_GROUP_FRACTION * sorted.length);
	let best: number | undefined;
	let bestSeparation = 0;
	let lowerSum = 0;
	for (let split = 1; split <= sorted.length - minSize; split++) {
		lowerSum += logs[split - 1]!;
		const difference = (total - lowerSum) / (sorted.length - split) - lowerSum / split;
		const separation = split * (sorted.length - split) * difference ** 2;
		if (split >= minSize && separation > bestSeparation) {
			best = split;
			bestSeparation = separation;
		}
	}
	if (best === undefined) {
		return undefined;
	}
	const ratio = quantile(sorted.slice(best), 0.5) / quantile(sorted.slice(0, best), 0.5);
	return ratio >= MIN_MISS_RATIO && ratio <= MAX_MISS_RATIO ? best : undefined;
}

function quantile(sorted: readonly Millis[], fraction: number): Millis {
	return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))]!;
}
