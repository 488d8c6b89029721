/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Two and a half times what the targets can do comes within a second, then nothing: refused callers that return once find room. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MeasuredReturnTimes } from '../../src/plugins/admission/common/measuredReturnTimes.js';
import { FixedReturnTimes, type IReturnTimes } from '../../src/plugins/admission/common/returnTimes.js';
import { FleetModel } from './fleetModel.js';
import type { SimulationReport } from './fleetModelTypes.js';

/** Half of what the targets can do. */
const USUAL_PER_SECOND = 40;
const SURGE_START_MS = 6000;
const SURGE_FACTOR = 5;
const SURGE_MS = 1000;
/** Mean over the seeds. */
const MIN_SERVED_FRACTION = 0.95;
/** Arrivals at targets for each request, including retries of instances at other targets. */
const MAX_ARRIVALS = 2;

/** Served requests, and rejections by targets, of a surge, both relative to its requests. */
function simulateSurge(
	instances: number,
	seed: number,
	createReturnTimes: () => IReturnTimes
): { served: number; rejected: number } {
	const settings = {
		seed,
		targets: { south: 4 },
		instances,
		objectsPerRegion: 1000,
		requestsPerSecond: USUAL_PER_SECOND,
		objectiveMs: 800,
		callerTimeoutMs: 6000,
		createReturnTimes,
		target: { slots: 2, queueLength: 2, cacheSize: 1, missMs: 100, hitMs: 100 }
	};
	const run = (surgeFactor: number, endMs: number): SimulationReport =>
		new FleetModel({
			...settings,
			loadFactor: sinceMs => (sinceMs < SURGE_START_MS ? 1 : sinceMs < SURGE_START_MS + SURGE_MS ? surgeFactor : 0.01)
		}).simulate(endMs);
	const before = run(1, SURGE_START_MS);
	const all = run(SURGE_FACTOR, SURGE_START_MS + 6000);
	const surge = all.requests - before.requests;
	return {
		served: 1 - (all.refused - before.refused) / surge,
		rejected: (all.rejected - before.rejected) / surge
	};
}

for (const instances of [3, 9, 65]) {
	test(`${instances} instances serve nearly all callers that return when told, and half of those that return at once`, t => {
		const runs = [1, 2, 3].map(seed => ({
			measured: simulateSurge(instances, seed, () => new MeasuredReturnTimes()),
			fixed: simulateSurge(instances, seed, () => new FixedReturnTimes())
		}));
		t.diagnostic(JSON.stringify(runs));
		const mean = runs.reduce((sum, { measured }) => sum + measured.served, 0) / runs.length;
		assert.ok(mean >= MIN_SERVED_FRACTION, `${mean}`);
		for (const { measured, fixed } of runs) {
			assert.ok(measured.served >= 1.7 * fixed.served, `${measured.served}, ${fixed.served} at once`);
			const arrivals = measured.served + measured.rejected;
			assert.ok(arrivals <= MAX_ARRIVALS, `${arrivals} arrivals at targets for each request`);
		}
	});
}
