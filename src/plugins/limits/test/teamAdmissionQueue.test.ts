/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Requests of a team at one entry instance share calls for credits. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { systemClock } from '../../../base/clock.js';
import { MAX_GIVE_BACK_AGE_MS } from '../common/limitPolicy.js';
import { LimitVerdict } from '../common/teamLimits.js';
import { TeamAdmissionQueue } from '../node/teamAdmissionQueue.js';

test('requests that arrive during a call share the next one, which returns unused credits', async () => {
	const calls: [number, number][] = [];
	const responses: ((response: { granted: number; retryAfterMs: number }) => void)[] = [];
	const queue = new TeamAdmissionQueue((needed, returned) => {
		calls.push([needed, returned]);
		return new Promise(resolve => responses.push(resolve));
	});
	const first = queue.admit();
	const others = [queue.admit(), queue.admit(), queue.admit()];
	responses[0]!({ granted: 1, retryAfterMs: 0 });
	assert.equal((await first).verdict, LimitVerdict.Admitted);
	queue.giveBack(systemClock.now());
	responses[1]!({ granted: 2, retryAfterMs: 150 });
	const verdicts = (await Promise.all(others)).map(({ verdict }) => verdict);
	assert.deepEqual(verdicts, [LimitVerdict.Admitted, LimitVerdict.Admitted, LimitVerdict.OverLimit]);
	const last = queue.admit();
	responses[2]!({ granted: 0, retryAfterMs: 0 });
	assert.equal((await last).verdict, LimitVerdict.Unknown);
	assert.deepEqual(calls, [
		[1, 0],
		[3, 0],
		[1, 1]
	]);
});

test('credits of requests that arrived long ago are not returned', async () => {
	const calls: [number, number][] = [];
	const queue = new TeamAdmissionQueue((needed, returned) => {
		calls.push([needed, returned]);
		return Promise.resolve({ granted: needed, retryAfterMs: 0 });
	});
	queue.giveBack(systemClock.now() - MAX_GIVE_BACK_AGE_MS);
	queue.giveBack(systemClock.now() - MAX_GIVE_BACK_AGE_MS / 2);
	await queue.admit();
	assert.deepEqual(calls, [[1, 1]]);
});
