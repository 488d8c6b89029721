/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Ejection of failing targets, and the idle timeout of connections after losses. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AdaptiveIdleTimeout } from '../../forwarding/common/adaptiveIdleTimeout.js';
import { TargetHealth } from '../common/targets/targetHealth.js';

test('a target is ejected after two consecutive failures, not after one', () => {
	const health = new TargetHealth();
	health.recordResponse(100, 100, 0);
	health.recordFailure(10);
	assert.equal(health.isEjected(11), false);
	health.recordFailure(20);
	assert.equal(health.isEjected(21), true);
	assert.equal(health.isEjected(500), false);
});

test('a target that fails again after an ejection is ejected for twice as long', () => {
	const health = new TargetHealth();
	health.recordFailure(0);
	health.recordFailure(1);
	health.recordFailure(500);
	assert.equal(health.isEjected(500 + 700), true);
	assert.equal(health.isEjected(500 + 900), false);
});

test('after an ejection a target gets one request at a time, until a response shows that it has recovered', () => {
	const health = new TargetHealth();
	health.recordUnreachable(0);
	assert.equal(health.admits(0, 1), false);
	assert.equal(health.admits(0, 500), true);
	assert.equal(health.admits(1, 500), false);
	health.recordResponse(600, 150, 600);
	assert.equal(health.admits(1, 601), false);
	health.recordResponse(100, 150, 700);
	health.recordResponse(100, 150, 800);
	assert.equal(health.admits(5, 801), true);
});

test('a target with a low failure rate is not ejected', () => {
	const health = new TargetHealth();
	for (let i = 0; i < 400; i++) {
		if (i % 20 === 0) {
			health.recordFailure(i);
		} else {
			health.recordResponse(100, 100, i);
		}
		assert.equal(health.isEjected(i), false);
	}
});

test('a timeout after a short wait does not count as a failure, one after a long wait does', () => {
	const health = new TargetHealth();
	[1, 2, 3, 4].forEach(now => health.recordTimeout(200, 150, now));
	assert.equal(health.isEjected(5), false);
	[6, 7].forEach(now => health.recordTimeout(400, 150, now));
	assert.equal(health.isEjected(8), true);
});

test('a failed connection ejects a target at once', () => {
	const health = new TargetHealth();
	health.recordUnreachable(0);
	assert.equal(health.isEjected(1), true);
});

test('a target several times slower than its service is ejected, one slow response is not enough', () => {
	const cold = new TargetHealth();
	[100, 400, 100, 100].forEach((ms, i) => cold.recordResponse(ms, 150, i));
	assert.equal(cold.isEjected(5), false);
	const slow = new TargetHealth();
	[600, 600, 600].forEach((ms, i) => slow.recordResponse(ms, 150, i));
	assert.equal(slow.isEjected(5), true);
});

test('losses on reused connections to two targets reduce the idle timeout of all connections for a while', () => {
	const timeout = new AdaptiveIdleTimeout();
	assert.equal(timeout.recordLoss('a', 1000, 20, 0), false);
	assert.equal(timeout.recordLoss('a', 900, 20, 100), false);
	assert.equal(timeout.maxIdleMs(100), Number.POSITIVE_INFINITY);
	assert.equal(timeout.recordLoss('b', 500, 20, 200), true);
	assert.equal(timeout.maxIdleMs(300), 200);
	assert.equal(timeout.maxIdleMs(9000), Number.POSITIVE_INFINITY);
});

test('losses long after sending, or on connections that were hardly idle, do not reduce the idle timeout', () => {
	const timeout = new AdaptiveIdleTimeout();
	timeout.recordLoss('a', 1000, 400, 0);
	timeout.recordLoss('b', 50, 10, 0);
	timeout.recordLoss('c', 1000, 400, 0);
	assert.equal(timeout.maxIdleMs(1), Number.POSITIVE_INFINITY);
});
