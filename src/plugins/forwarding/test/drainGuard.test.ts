/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which requests an instance that drains passes on. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DrainGuard, type DrainRequest } from '../common/drainGuard.js';

const ENDS_AT = 10000;
const MARGIN_MS = 250;
const LATE_DEADLINE = 12000;

/** A guard that has measured the route `short`, a route that is streamed, and has begun to drain. */
function createGuard(): DrainGuard {
	const guard = new DrainGuard(0);
	guard.recordAttempt('short', 900, 100);
	guard.recordAttempt('short', 1000, 200);
	guard.recordAttempt('short', 800, 300);
	guard.recordAttempt('streamed', Number.POSITIVE_INFINITY, 300);
	guard.beginDrain(ENDS_AT);
	return guard;
}

function request(route: string, deadline = LATE_DEADLINE, isWhole = true): DrainRequest {
	return { route, deadline, isWhole };
}

test('without a stop each request is passed on', () => {
	assert.equal(new DrainGuard(0).mayPassOn(request('any', Number.POSITIVE_INFINITY, false), 0), true);
});

test('a request that takes longer than what is left of the grace period is not passed on', () => {
	const guard = createGuard();
	const latest = ENDS_AT - MARGIN_MS - 1000;
	assert.deepEqual(
		[latest, latest + 1].map(now => guard.mayPassOn(request('short'), now)),
		[true, false]
	);
});

test('a request without a known duration is passed on only if its deadline comes before the end', () => {
	const guard = createGuard();
	const latest = ENDS_AT - MARGIN_MS;
	const unknown = [
		(deadline: number) => request('new', deadline),
		(deadline: number) => request('streamed', deadline),
		(deadline: number) => request('short', deadline, false)
	];
	for (const requestUntil of unknown) {
		assert.deepEqual(
			[latest, latest + 1].map(deadline => guard.mayPassOn(requestUntil(deadline), 1000)),
			[true, false]
		);
	}
});

test('a request whose deadline comes before the end is passed on however long its route takes', () => {
	assert.equal(createGuard().mayPassOn(request('short', ENDS_AT - MARGIN_MS), ENDS_AT - 500), true);
});

test('the duration of a route is forgotten after two windows at most, and not after one', () => {
	const guard = new DrainGuard(0);
	guard.recordAttempt('short', 1000, 59999);
	guard.beginDrain(300000);
	const atEnd = (now: number): boolean => guard.mayPassOn(request('short', Number.POSITIVE_INFINITY), now);
	assert.deepEqual([atEnd(60000), atEnd(119999), atEnd(120000)], [true, true, false]);
});
