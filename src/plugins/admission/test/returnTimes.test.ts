/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Return times stay within what callers respect, follow rank and completions, and are the same for all where nobody asks for ranks. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MeasuredReturnTimes } from '../common/measuredReturnTimes.js';
import { SHORT_RETRY_AFTER_MS } from '../common/returnTimes.js';
import { ReturnTimesService } from '../common/returnTimesService.js';
import type { ShortageRequest } from '../common/shortageAdmission.js';

const LEFT_MS = 6000;
const SHORTAGE_STARTS_AT = 5000;

function requestAt(now: number, rank = 0, leftMs = LEFT_MS): ShortageRequest {
	return { service: 's', rank: { team: rank, route: 0 }, teamName: undefined, deadline: now + leftMs };
}

/** Return times of an instance that completed requests until the shortage, by default ten per second. */
function createWarm(intervalMs = 100): MeasuredReturnTimes {
	const returnTimes = new MeasuredReturnTimes();
	for (let now = intervalMs; now <= SHORTAGE_STARTS_AT; now += intervalMs) {
		returnTimes.recordCompletion(requestAt(now), now);
	}
	return returnTimes;
}

test('without ranks all callers are told the same short time, whatever was completed', () => {
	const service = new ReturnTimesService({ isRanked: false });
	for (let now = 0; now < 3000; now += 10) {
		service.recordCompletion(requestAt(now), now);
		assert.equal(service.retryAfterMs(requestAt(now, now % 3), now), SHORT_RETRY_AFTER_MS);
	}
	assert.equal(service.retryAfterMs(requestAt(3000, 0, 1), 3000), SHORT_RETRY_AFTER_MS);
});

test('with ranks a caller is told at most a third of the time that it has left, and none if that is too short', () => {
	const service = new ReturnTimesService({ isRanked: true });
	assert.equal(service.retryAfterMs(requestAt(0), 0), LEFT_MS / 3, 'nothing is known of completions');
	const returnTimes = createWarm();
	for (let i = 0; i < 200; i++) {
		const now = SHORTAGE_STARTS_AT + 5 * i;
		const delayMs = returnTimes.retryAfterMs(requestAt(now, i % 3), now);
		assert.ok(delayMs === undefined || (delayMs >= SHORT_RETRY_AFTER_MS && delayMs <= LEFT_MS / 3), `${delayMs}`);
	}
	assert.equal(returnTimes.retryAfterMs(requestAt(6000, 0, 200), 6000), undefined);
});

test('one refused caller of many returns shortly', () => {
	assert.equal(createWarm(20).retryAfterMs(requestAt(SHORTAGE_STARTS_AT), SHORTAGE_STARTS_AT), SHORT_RETRY_AFTER_MS);
});

test('callers beyond what can be completed while they may return are told no time', () => {
	const returnTimes = createWarm();
	const told = Array.from({ length: 100 }, () =>
		returnTimes.retryAfterMs(requestAt(SHORTAGE_STARTS_AT), SHORTAGE_STARTS_AT)
	);
	const count = told.filter(delayMs => delayMs !== undefined).length;
	assert.ok(count >= 15 && count <= 45, `${count} of 100 for at most 20 completions per second and 1 to 2 s`);
	assert.equal(told.at(-1), undefined);
	const times = told.filter(delayMs => delayMs !== undefined);
	assert.deepEqual(
		times,
		[...times].sort((a, b) => a - b),
		'in the order of refusal'
	);
});

test('callers of a higher rank return before those of a lower one that were refused earlier', () => {
	const returnTimes = createWarm();
	const now = SHORTAGE_STARTS_AT;
	for (let i = 0; i < 60; i++) {
		returnTimes.retryAfterMs(requestAt(now, 2), now);
	}
	assert.equal(returnTimes.retryAfterMs(requestAt(now, 2), now), undefined);
	const high = returnTimes.retryAfterMs(requestAt(now, 0), now);
	assert.equal(high, LEFT_MS / 6);
});

test('services without requests for a minute are forgotten', () => {
	const returnTimes = createWarm();
	const now = SHORTAGE_STARTS_AT + 120000;
	returnTimes.recordCompletion({ ...requestAt(now), service: 'other' }, now);
	assert.equal(returnTimes.retryAfterMs(requestAt(now), now), LEFT_MS / 3, 'no completion is known');
});
