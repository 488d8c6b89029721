/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import { EventLoopMonitor } from '../node/eventLoopMonitor.js';
import { MetricsService } from '../node/metricsService.js';

const TICK_MS = 50;

test('input that is read on time has no delay, and input read after a stall may have waited for all of it', () => {
	mock.timers.enable({ apis: ['setInterval'] });
	let now = 0;
	const metrics = new MetricsService();
	const monitor = new EventLoopMonitor(metrics, { now: () => now, wallNow: () => now });
	const run = (ms: number): void => {
		now += ms;
		mock.timers.tick(ms);
	};
	for (let i = 0; i < 10; i++) {
		assert.equal(monitor.readDelayMs(), 0);
		run(TICK_MS);
	}
	now += 1000;
	assert.ok(monitor.readDelayMs() >= 1000 - 2 * TICK_MS, 'what is read first after the stall');
	mock.timers.tick(TICK_MS);
	assert.ok(monitor.readDelayMs() >= 1000 - 2 * TICK_MS, 'what is read after the first tick, by the next poll');
	run(TICK_MS);
	assert.equal(monitor.readDelayMs(), 0);
	monitor.dispose();
	mock.timers.reset();
});
