/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** When input may have waited for this process. */

import assert from 'node:assert/strict';
import { afterEach, beforeEach, mock, test } from 'node:test';
import { StallDetector } from '../stallDetector.js';

const TICK_MS = 100;

let now: number;
let wallNow: number;
let detector: StallDetector;

beforeEach(() => {
	mock.timers.enable({ apis: ['setInterval'] });
	now = 1000;
	wallNow = 5000;
	detector = new StallDetector({ now: () => now, wallNow: () => wallNow });
});

afterEach(() => {
	detector.dispose();
	mock.timers.reset();
});

function run(ms: number): void {
	for (let passed = 0; passed < ms; passed += TICK_MS) {
		now += TICK_MS;
		wallNow += TICK_MS;
		mock.timers.tick(TICK_MS);
	}
}

test('a process that runs has not stalled', () => {
	run(3000);
	assert.equal(detector.hasStalledRecently(), false);
});

test('a stop is noticed at the first question after it, before any timer, and for some time', () => {
	now += 3000;
	wallNow += 3000;
	assert.equal(detector.hasStalledRecently(), true);
	run(300);
	assert.equal(detector.hasStalledRecently(), true);
	run(300);
	assert.equal(detector.hasStalledRecently(), false);
});

test('a suspension, which the monotonic clock does not count, is noticed by the wall clock', () => {
	wallNow += 3000;
	mock.timers.tick(TICK_MS);
	assert.equal(detector.hasStalledRecently(), true);
});
