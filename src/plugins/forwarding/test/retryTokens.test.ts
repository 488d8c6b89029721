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
	const tokens = new RetryTokens(0.5, LIFETIME_MS, WINDOW_MS);
	[0, 0, 1000, 1000].forEach(now => tokens.recordFirstAttempt(now));
	assert.equal(tokens.tryTake(LIFETIME_MS), 1000);
	assert.equal(tokens.tryTake(LIFETIME_MS), undefined);
});

/** Guards against tokens that pile up while nothing has to be retried. */
test('expired tokens are dropped although none is taken', () => {
	const tokens = new RetryTokens(1, LIFETIME_MS, WINDOW_MS);
	for (let now = 0; now < 100 * LIFETIME_MS; now += 100) {
		tokens.recordFirstAttempt(now);
	}
	assert.equal(tokens.count, LIFETIME_MS / 100);
});

test('the latest token lasts longer', () => {
	const tokens = new RetryTokens(1, LIFETIME_MS, WINDOW_MS);
	[0, 1000].forEach(now => tokens.recordFirstAttempt(now));
	assert.equal(tokens.tryTake(WINDOW_MS + 999), 1000);
	tokens.giveBack(1000);
	assert.equal(tokens.tryTake(WINDOW_MS + 1000), undefined);
});

test('the token that expires first is taken first', () => {
	const tokens = new RetryTokens(1, LIFETIME_MS, WINDOW_MS);
	[0, 1000].forEach(now => tokens.recordFirstAttempt(now));
	assert.equal(tokens.tryTake(LIFETIME_MS - 1), 0);
	assert.equal(tokens.tryTake(LIFETIME_MS + 999), 1000);
});

test('a token that is given back expires as if it had not been taken', () => {
	const tokens = new RetryTokens(1, LIFETIME_MS, WINDOW_MS);
	[0, 1000].forEach(now => tokens.recordFirstAttempt(now));
	tokens.giveBack(tokens.tryTake(1000)!);
	assert.equal(tokens.tryTake(LIFETIME_MS - 1), 0);
	tokens.giveBack(0);
	assert.equal(tokens.tryTake(LIFETIME_MS), 1000);
});

test('a sliding count has every event of the window, and at most two tenths of it more', () => {
	const count = new SlidingCount(WINDOW_MS);
	[0, 999, 1000, 2000, 11999].forEach(now => count.add(now));
	assert.equal(count.atLeastWindow(11999), 5);
	assert.equal(count.atMostWindow(11999), 2);
	assert.equal(count.atLeastWindow(12000), 3);
	count.remove(1000, 12000);
	count.remove(0, 12000);
	assert.equal(count.atLeastWindow(12000), 2);
	assert.equal(count.atLeastWindow(50000), 0);
});
