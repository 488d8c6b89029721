/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Tokens for retries, and the sliding window that they are counted over. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryTokens } from '../common/retryTokens.js';
import { SlidingCount } from '../common/slidingCount.js';

const LIFETIME_MS = 3000;
const WINDOW_MS = 10000;

test('a token is earned by several first attempts and expires', () => {
	const tokens = new RetryTokens(0.5, LIFETIME_MS);
	[0, 0, 1000, 1000].forEach(now => tokens.recordFirstAttempt(now));
	assert.equal(tokens.tryTake(LIFETIME_MS), true);
	assert.equal(tokens.tryTake(LIFETIME_MS), false);
});

test('the token that expires first is taken first', () => {
	const tokens = new RetryTokens(1, LIFETIME_MS);
	[0, 1000].forEach(now => tokens.recordFirstAttempt(now));
	assert.equal(tokens.tryTake(LIFETIME_MS - 1), true);
	assert.equal(tokens.tryTake(LIFETIME_MS + 999), true);
});

test('a sliding count has every event of the window, and at most a tenth of it more', () => {
	const count = new SlidingCount(WINDOW_MS);
	[0, 999, 1000, 10999].forEach(now => count.add(now));
	assert.equal(count.atLeastWindow(10999), 4);
	assert.equal(count.atMostWindow(10999), 2);
	assert.equal(count.atLeastWindow(11000), 2);
	assert.equal(count.atLeastWindow(50000), 0);
});
