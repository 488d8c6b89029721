/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which requests are refused because they waited for the process. */

import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { QueueDelayGuard } from '../common/queueDelayGuard.js';

const REMAINING_MS = 5000;
let guard: QueueDelayGuard;

beforeEach(() => {
	guard = new QueueDelayGuard();
});

test('a burst is served up to half a second, and never beyond a fourth of what the caller waits', () => {
	assert.equal(guard.admits(0, REMAINING_MS, 0), true);
	assert.equal(guard.admits(490, REMAINING_MS, 100), true);
	assert.equal(guard.admits(510, REMAINING_MS, 110), false);
	assert.equal(guard.admits(240, 1000, 120), true);
	assert.equal(guard.admits(260, 1000, 130), false);
});

/** Guards against a queue in which every request waits as long as the bound allows. */
test('a queue that is not worked off is shortened until requests are prompt again', () => {
	for (let now = 0; now <= 250; now += 10) {
		assert.equal(guard.admits(400, REMAINING_MS, now), true);
	}
	assert.equal(guard.admits(400, REMAINING_MS, 260), false);
	assert.equal(guard.admits(240, REMAINING_MS, 260), true);
	assert.equal(guard.admits(40, REMAINING_MS, 270), true);
	assert.equal(guard.admits(400, REMAINING_MS, 280), true);
});

test('a request that comes after an idle time, late because the process did not run, ends no queue of others', () => {
	assert.equal(guard.admits(0, REMAINING_MS, 0), true);
	assert.equal(guard.admits(100, REMAINING_MS, 60000), true);
});
