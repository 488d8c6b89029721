/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Requests of a team at one entry instance share calls for credits. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { systemClock } from '../../../base/clock.js';
import { MAX_GIVE_BACK_AGE_MS } from '../common/limitPolicy.js';
import type { TakeResponse } from '../common/limitWire.js';
import { LimitVerdict } from '../common/teamLimits.js';
import { TeamAdmissionQueue } from '../node/teamAdmissionQueue.js';

const SOURCE = { holder: 'h', takenAt: 1000 };

test('requests that arrive during a call share the next one, which returns unused credits', async () => {
	const calls: [number, number][] = [];
	const responses: ((response: TakeResponse) => void)[] = [];
	const queue = new TeamAdmissionQueue((needed, returned) => {
		calls.push([needed, returned]);
		return new Promise(resolve => responses.push(resolve));
	});
	const arrivedAt = systemClock.now();
	const first = queue.admit();
	const others = [queue.admit(), queue.admit(), queue.admit()];
	responses[0]!({ granted: 1, retryAfterMs: 0, source: SOURCE });
	assert.equal((await first).verdict, LimitVerdict.Admitted);
	queue.giveBack(arrivedAt);
	responses[1]!({ granted: 2, retryAfterMs: 150, source: SOURCE });
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
		return Promise.resolve({ granted: needed, retryAfterMs: 0, source: SOURCE });
	});
	await queue.admit();
	queue.giveBack(systemClock.now() - MAX_GIVE_BACK_AGE_MS);
	queue.giveBack(systemClock.now() - MAX_GIVE_BACK_AGE_MS / 2);
	await queue.admit();
	assert.deepEqual(calls, [
		[1, 0],
		[1, 1]
	]);
});

/** Guards against credits that one holder granted and another one takes back. */
test('credits are returned only to the holder that granted them, named by the oldest grant', async () => {
	const calls: unknown[] = [];
	const sources = [7, 5, 6].map(takenAt => ({ holder: 'a', takenAt }));
	const queue = new TeamAdmissionQueue((needed, returned, returnedFrom) => {
		calls.push([returned, returnedFrom]);
		return Promise.resolve({ granted: needed, retryAfterMs: 0, source: sources[calls.length - 1] ?? SOURCE });
	});
	for (let i = 0; i < 5; i++) {
		const arrivedAt = systemClock.now();
		await queue.admit();
		await delay(2);
		if (i < 4) {
			queue.giveBack(arrivedAt);
		}
	}
	const [first, , third] = sources;
	assert.deepEqual(calls, [
		[0, undefined],
		[1, first],
		[1, sources[1]],
		[1, third],
		[1, SOURCE]
	]);
});
