/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Objects are spread over targets by a hash, so that a few targets get several times the mean of them; at half of all slots in
 * use these have a queue that never ends, while each of many instances meets them too seldom to see it. Without targets that
 * give objects away 16,535 of 18,823 answers of these three seeds came in time.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetModel, type ReplayReport } from './fleetModel.js';

const SEEDS = [1, 2, 3];

function replay(seed: number): ReplayReport {
	return new FleetModel({
		seed,
		targets: { south: 100 },
		instances: 40,
		objects: 170,
		rate: 450,
		objectiveMs: 2000,
		target: { slots: 9, queueLength: 27, keptObjects: 11, firstMs: 3040, laterMs: 912 },
		registrationMs: 2000
	}).replay(14000);
}

test('a target with more objects than it can serve gives a part of them away, and nearly all answers come in time', () => {
	const reports = SEEDS.map(replay);
	const sum = (field: 'requests' | 'inTime' | 'firstTouches' | 'leastFirstTouches'): number =>
		reports.reduce((total, report) => total + report[field], 0);
	const inTime = sum('inTime') / sum('requests');
	assert.ok(inTime > 0.9, `${inTime.toFixed(3)} in time`);
	const firstTouches = sum('firstTouches') / sum('leastFirstTouches');
	assert.ok(firstTouches < 1.3, `${firstTouches.toFixed(2)} first touches an object`);
	reports.forEach(({ busiest }) => assert.ok(busiest < 2.5, `busiest target ${busiest.toFixed(2)} times the mean`));
});
