/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * A third of the targets rejects about half of its requests although it has capacity, and requests backoff from each instance that it rejects.
 * Guards against instances that continue to send requests during the backoff.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetModel } from './fleetModel.js';
import type { SimulationReport } from './fleetModelTypes.js';

const WARM_MS = 6000;
const SHEDDING_MS = 9000;
const END_MS = 18000;
const BACKOFF_MS = 3000;

function simulate(seed: number): SimulationReport {
	const model = new FleetModel({
		seed,
		targets: { north: 60, central: 60, south: 60 },
		instances: 66,
		objectsPerRegion: 160,
		requestsPerSecond: 700,
		callerRetryMs: 300,
		objectiveMs: 900,
		target: { slots: 9, queueLength: 27, cacheSize: 20, missMs: 1150, hitMs: 345 },
		registrationMs: 2000
	});
	const setSheddingOfThird = (shedRatio: number, backoffMs: number): void =>
		[...model.targets.values()].forEach((target, i) => {
			if (i % 3 === 0) {
				Object.assign(target, { shedRatio, backoffMs });
			}
		});
	model.afterStart(WARM_MS, () => setSheddingOfThird(0.55, BACKOFF_MS));
	model.afterStart(WARM_MS + SHEDDING_MS, () => setSheddingOfThird(0, 0));
	return model.simulate(END_MS);
}

test('a third of the targets sheds load and requests backoff: nothing is rejected during the backoff, and nearly all requests are served', () => {
	for (const seed of [1, 2]) {
		const report = simulate(seed);
		assert.equal(report.rejectedDuringBackoff, 0);
		assert.ok(report.refused < 0.002 * report.requests, `${report.refused} of ${report.requests} refused`);
		assert.ok(report.inTime > 0.93 * report.requests, `${report.inTime} of ${report.requests} in time`);
	}
});
