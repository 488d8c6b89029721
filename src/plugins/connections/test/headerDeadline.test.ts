/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Headers are late only while the caller is waited for, and at the second check in a row. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeaderDeadline } from '../common/headerDeadline.js';

const TIMEOUT_MS = 3000;

test('headers that are not complete in time are late at the second check in a row', () => {
	const deadline = new HeaderDeadline(0);
	deadline.recordBytes(false, 1000);
	assert.equal(deadline.check(true, TIMEOUT_MS, 2999), false);
	assert.equal(deadline.check(true, TIMEOUT_MS, 3000), false);
	assert.equal(deadline.check(true, TIMEOUT_MS, 3050), true);
});

test('bytes that arrive between the two checks, and time in which nothing was parsed, do not count against the caller', () => {
	const deadline = new HeaderDeadline(0);
	deadline.recordBytes(false, 0);
	assert.equal(deadline.check(true, TIMEOUT_MS, 3000), false);
	deadline.recordBytes(false, 3010);
	assert.equal(deadline.check(true, TIMEOUT_MS, 3050), false);
	assert.equal(deadline.check(false, TIMEOUT_MS, 9000), false);
	assert.equal(deadline.check(true, TIMEOUT_MS, 11999), false);
	assert.equal(deadline.check(true, TIMEOUT_MS, 12000), false);
});

test('a connection without any byte has more time, and none runs between two requests', () => {
	const deadline = new HeaderDeadline(0);
	assert.equal(deadline.check(true, TIMEOUT_MS, 59999), false);
	assert.equal(deadline.check(true, TIMEOUT_MS, 60000), false);
	assert.equal(deadline.check(true, TIMEOUT_MS, 60050), true);
	deadline.clear();
	assert.equal(deadline.check(true, TIMEOUT_MS, 200000), false);
	assert.equal(deadline.hasFirstByte, false);
});
