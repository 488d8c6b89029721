/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * A third of the targets reports a rate limit of 0.3 times the mean request rate of a target, and some calls between instances are lost. Guards
 * against instances that exceed a limit together, and against limits that stay unused because few callers use the instances that hold them.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetModel } from './fleetModel.js';
import type { SimulationReport } from './fleetModelTypes.js';

const WARM_MS = 6000;
const LIMITED_MS = 9000;
const END_MS = 18000;
const REQUESTS_PER_SECOND = 700;
const TARGETS = { north: 60, central: 60, south: 60 };
const LIMIT_PER_SECOND = (0.3 * REQUESTS_PER_SECOND) / 180;
/** Maximum arrivals at a target in 4 s: what the limit allows, and one request for each of its two senders. */
const MAX_ARRIVALS = 4 * LIMIT_PER_SECOND + 2;
const MIN_UTILIZATION = 0.8;

function simulate(seed: number): SimulationReport {
	const model = new FleetModel({
		seed,
		targets: TARGETS,
		instances: 66,
		objectsPerRegion: 160,
		requestsPerSecond: REQUESTS_PER_SECOND,
		callerRetryMs: 300,
		objectiveMs: 900,
		target: { slots: 9, queueLength: 27, cacheSize: 20, missMs: 1150, hitMs: 345 },
		registrationMs: 2000,
		callLossRatio: 0.1
	});
	const setLimitOfThird = (perSecond: number | undefined): void =>
		[...model.targets.values()].forEach((target, i) => {
			if (i % 3 === 0) {
				model.setLimit(target, perSecond);
			}
		});
	model.afterStart(WARM_MS, () => setLimitOfThird(LIMIT_PER_SECOND));
	model.afterStart(WARM_MS + LIMITED_MS, () => setLimitOfThird(undefined));
	return model.simulate(END_MS);
}

test('a third of the targets reports rate limits: all instances together stay within them, use them, and refuse almost no request', () => {
	for (const seed of [1, 2]) {
		const report = simulate(seed);
		const maxArrivals = report.peakLimitUtilization * 4 * LIMIT_PER_SECOND;
		assert.ok(maxArrivals <= MAX_ARRIVALS, `${maxArrivals} requests in 4 s, limit ${LIMIT_PER_SECOND} per second`);
		assert.ok(report.meanLimitUtilization >= MIN_UTILIZATION, `${report.meanLimitUtilization} of the limits used`);
		assert.ok(report.refused < 0.002 * report.requests, `${report.refused} of ${report.requests} refused`);
		assert.ok(report.inTime > 0.93 * report.requests, `${report.inTime} of ${report.requests} in time`);
	}
});
