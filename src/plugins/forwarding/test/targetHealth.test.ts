/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What losses say: which targets are left alone, and how long connections may rest. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RestLimit } from '../common/targets/restLimit.js';
import { TargetHealth } from '../common/targets/targetHealth.js';

test('one lost answer changes nothing, two in a row do', () => {
	const health = new TargetHealth();
	health.noteAnswer(100, 100, 0);
	health.noteFailure(10);
	assert.equal(health.isSuspect(11), false);
	health.noteFailure(20);
	assert.equal(health.isSuspect(21), true);
	assert.equal(health.isSuspect(500), false);
});

test('a target that fails again on its trial is left alone for twice as long', () => {
	const health = new TargetHealth();
	health.noteFailure(0);
	health.noteFailure(1);
	health.noteFailure(500);
	assert.equal(health.isSuspect(500 + 700), true);
	assert.equal(health.isSuspect(500 + 900), false);
});

test('after its time alone one request at a time tries a target, until an answer shows that it is well', () => {
	const health = new TargetHealth();
	health.noteUnreachable(0);
	assert.equal(health.admits(0, 1), false);
	assert.equal(health.admits(0, 500), true);
	assert.equal(health.admits(1, 500), false);
	health.noteAnswer(600, 150, 600);
	assert.equal(health.admits(1, 601), false);
	health.noteAnswer(100, 150, 700);
	health.noteAnswer(100, 150, 800);
	assert.equal(health.admits(5, 801), true);
});

test('a target that loses a few answers among many is kept', () => {
	const health = new TargetHealth();
	for (let i = 0; i < 400; i++) {
		if (i % 20 === 0) {
			health.noteFailure(i);
		} else {
			health.noteAnswer(100, 100, i);
		}
		assert.equal(health.isSuspect(i), false);
	}
});

test('a request whose time was short says nothing of its target, one that waited long does', () => {
	const health = new TargetHealth();
	[1, 2, 3, 4].forEach(now => health.noteTimeOver(200, 150, now));
	assert.equal(health.isSuspect(5), false);
	[6, 7].forEach(now => health.noteTimeOver(400, 150, now));
	assert.equal(health.isSuspect(8), true);
});

test('no connection is enough', () => {
	const health = new TargetHealth();
	health.noteUnreachable(0);
	assert.equal(health.isSuspect(1), true);
});

test('a target that takes several times as long as its service is slow, one cold answer is not', () => {
	const cold = new TargetHealth();
	[100, 400, 100, 100].forEach((ms, i) => cold.noteAnswer(ms, 150, i));
	assert.equal(cold.isSuspect(5), false);
	const slow = new TargetHealth();
	[600, 600, 600].forEach((ms, i) => slow.noteAnswer(ms, 150, i));
	assert.equal(slow.isSuspect(5), true);
});

test('losses right after a rest, at two targets, shorten the rest of all connections for a while', () => {
	const limit = new RestLimit();
	assert.equal(limit.noteLoss('a', 1000, 20, 0), false);
	assert.equal(limit.noteLoss('a', 900, 20, 100), false);
	assert.equal(limit.limitMs(100), Number.POSITIVE_INFINITY);
	assert.equal(limit.noteLoss('b', 500, 20, 200), true);
	assert.equal(limit.limitMs(300), 200);
	assert.equal(limit.limitMs(9000), Number.POSITIVE_INFINITY);
});

test('losses after some work, or without a rest, say nothing of connections', () => {
	const limit = new RestLimit();
	limit.noteLoss('a', 1000, 400, 0);
	limit.noteLoss('b', 50, 10, 0);
	limit.noteLoss('c', 1000, 400, 0);
	assert.equal(limit.limitMs(1), Number.POSITIVE_INFINITY);
});
