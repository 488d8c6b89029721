/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Work times of cache hits, of cache misses and of slow requests are told apart in few, scattered samples. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LearnedWorkProfile } from '../common/learnedWorkProfile.js';
import { OutcomeTracker } from '../common/outcomeTracker.js';
import type { PlacementRequest } from '../common/placementRequest.js';
import { RegionLoad } from '../common/regionLoad.js';
import { TargetState } from '../common/targets/targetState.js';

const HIT_MS = 180;
const MISS_MS = 600;

/** Numbers in [0, 1) from a linear congruential generator with modulus 2^32. */
function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
		return state / 2 ** 32;
	};
}

/** A work time that scatters by a quarter; 3 in 100 take 7 times as long. */
function scattered(workMs: number, random: () => number): number {
	const isSlow = random() < 0.03;
	return workMs * (0.75 + 0.5 * random()) * (isSlow ? 7 : 1);
}

function learn(cacheMisses: number, responses: number, seed: number): LearnedWorkProfile {
	const random = createRandom(seed);
	const profile = new LearnedWorkProfile();
	for (let i = 0; i < responses; i++) {
		profile.record('s', 'r', scattered(random() < cacheMisses ? MISS_MS : HIT_MS, random));
	}
	return profile;
}

function assertNear(actual: number, expected: number, tolerance: number): void {
	assert.ok(Math.abs(actual / expected - 1) <= tolerance, `${actual} instead of ${expected}`);
}

test('the work of cache hits does not depend on the part of cache misses', () => {
	for (const cacheMisses of [0, 0.15, 0.3, 0.5, 0.7]) {
		for (const seed of [1, 2, 3]) {
			const times = learn(cacheMisses, 96, seed).timesOf('s', 'r')!;
			assertNear(times.hitMs, HIT_MS, 0.15);
			assertNear(times.missMs, MISS_MS, 0.25);
		}
	}
});

test('a slow cache hit is above the quantile and a usual one below it', () => {
	const { slowHitMs } = learn(0.2, 96, 4).timesOf('s', 'r')!;
	assert.ok(slowHitMs > HIT_MS * 1.1 && slowHitMs < HIT_MS * 7, `${slowHitMs}`);
});

test('nothing is known after few responses, nor of another route; absurd times are left out', () => {
	const profile = learn(0, 11, 1);
	assert.equal(profile.timesOf('s', 'r'), undefined);
	[Number.NaN, 0, -5, Number.POSITIVE_INFINITY].forEach(time => profile.record('s', 'r', time));
	assert.equal(profile.timesOf('s', 'r'), undefined);
	profile.record('s', 'r', HIT_MS);
	assert.notEqual(profile.timesOf('s', 'r'), undefined);
	assert.equal(profile.timesOf('s', 'other'), undefined);
});

test('the number of routes in memory is bounded, and routes in use stay', () => {
	const profile = new LearnedWorkProfile();
	for (let i = 0; i < 1000; i++) {
		profile.record('s', 'used', HIT_MS);
		profile.record('s', `route-${i}`, HIT_MS);
	}
	assert.notEqual(profile.timesOf('s', 'used'), undefined);
});

const SLOTS = 6;

interface Responses {
	readonly service: string;
	readonly count: number;
	readonly durationMs: number;
	readonly waiting?: number;
	readonly workTimeFactor?: number;
}

/** Records requests, 100 ms apart, and the responses to them; returns the time of the last. */
function respond(tracker: OutcomeTracker, responses: Responses, now: number): number {
	const { service, count, durationMs, waiting = 0, workTimeFactor } = responses;
	const state = new TargetState('t', 0, SLOTS, new RegionLoad());
	const request = { service, route: { name: 'r' }, exchange: { isDisconnected: false } } as unknown as PlacementRequest;
	const answer = { type: 'answer', status: 200 } as never;
	for (let i = 0; i < count; i++) {
		now += 100;
		tracker.recordRequest(service, now, 'r');
		tracker.recordLoad(state, { running: 1, waiting, slots: SLOTS, workTimeFactor }, now);
		tracker.recordOutcome(request, state, answer, durationMs, now);
	}
	return now;
}

test('cache misses and queues do not raise the demand in work, whatever the speed of the target', () => {
	const tracker = new OutcomeTracker();
	let now = respond(tracker, { service: 's', count: 40, durationMs: 2 * HIT_MS, workTimeFactor: 2 }, 0);
	const before = tracker.slotsNeeded(now)['s']!;
	assertNear(before, (10 * HIT_MS) / 1000, 0.15);
	now = respond(tracker, { service: 's', count: 30, durationMs: MISS_MS, workTimeFactor: 1 }, now);
	now = respond(tracker, { service: 's', count: 100, durationMs: 3000, waiting: 9, workTimeFactor: 1 }, now);
	assertNear(tracker.slotsNeeded(now)['s']!, (10 * HIT_MS) / 1000, 0.15);
	assert.equal(tracker.serviceTimeMs('s', now), HIT_MS);
});

test('without reported work times demand is estimated as before, unless the deployment ranks requests', () => {
	const slots = (tracker: OutcomeTracker): number => {
		const now = respond(tracker, { service: 's', count: 30, durationMs: HIT_MS }, 0);
		return tracker.slotsNeeded(respond(tracker, { service: 's', count: 40, durationMs: MISS_MS }, now))['s']!;
	};
	assertNear(slots(new OutcomeTracker()), (10 * MISS_MS) / 1000, 0.1);
	assertNear(slots(new OutcomeTracker(true)), (10 * HIT_MS) / 1000, 0.1);
	assert.equal(new OutcomeTracker().isUneven('s'), false);
});

test('a service that a new table renames is met with the usual estimate until its work is known', () => {
	const tracker = new OutcomeTracker();
	const now = respond(tracker, { service: 'old', count: 40, durationMs: HIT_MS, workTimeFactor: 1 }, 0);
	tracker.recordRequest('new', now, 'r');
	const slots = tracker.slotsNeeded(now)['new']!;
	assert.ok(slots > 0 && slots < 1, `${slots}`);
	const later = respond(tracker, { service: 'new', count: 40, durationMs: HIT_MS, workTimeFactor: 1 }, now);
	assertNear(tracker.slotsNeeded(later)['new']!, (10 * HIT_MS) / 1000, 0.15);
});
