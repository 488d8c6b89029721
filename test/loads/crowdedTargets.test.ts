/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * A hash assigns several times the mean number of objects to a few targets. At half of the total capacity in use, the queues of these targets
 * never drain, while each single instance uses them too rarely to notice.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetModel } from './fleetModel.js';
import type { SimulationReport } from './fleetModelTypes.js';

const SEEDS = [1, 2, 3];

function simulate(seed: number): SimulationReport {
	return new FleetModel({
		seed,
		targets: { south: 100 },
		instances: 40,
		objectsPerRegion: 170,
		requestsPerSecond: 450,
		objectiveMs: 2000,
		target: { slots: 9, queueLength: 27, cacheSize: 11, missMs: 3040, hitMs: 912 },
		registrationMs: 2000
	}).simulate(14000);
}

test('objects of a target that cannot serve them all move to other targets, and nearly all responses are in time', () => {
	const reports = SEEDS.map(simulate);
	const sum = (field: 'requests' | 'inTime' | 'cacheMisses' | 'distinctObjects'): number =>
		reports.reduce((total, report) => total + report[field], 0);
	const inTime = sum('inTime') / sum('requests');
	assert.ok(inTime > 0.9, `${inTime.toFixed(3)} in time`);
	const missesPerObject = sum('cacheMisses') / sum('distinctObjects');
	assert.ok(missesPerObject < 1.3, `${missesPerObject.toFixed(2)} cache misses per object`);
	reports.forEach(({ peakToMeanArrivals }) =>
		assert.ok(
			peakToMeanArrivals < 2.5,
			`arrivals at the busiest target ${peakToMeanArrivals.toFixed(2)} times the mean`
		)
	);
});
