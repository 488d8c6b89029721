/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The first seconds of a large fleet: targets register one after the other while the entry instances already run, then all callers send requests
 * and no object is cached anywhere. A cache miss takes longer than the latency objective, so there should be hardly more than one per object.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetModel } from './fleetModel.js';
import type { FleetModelSettings } from './fleetModelTypes.js';

const TARGET = { slots: 9, queueLength: 27, cacheSize: 11, missMs: 3040, hitMs: 912 };
const FLEET: FleetModelSettings = {
	seed: 7,
	targets: { north: 97, central: 20, south: 81 },
	instances: 45,
	objectsPerRegion: 90,
	requestsPerSecond: 300,
	objectiveMs: 2000,
	target: TARGET,
	registrationMs: 4000
};

test('targets that registered before the first request are not treated as new: hardly more than one cache miss per object', () => {
	const report = new FleetModel(FLEET).simulate(4000);
	assert.equal(report.inTime + report.late + report.refused, report.requests);
	const missesPerObject = report.cacheMisses / report.distinctObjects;
	assert.ok(missesPerObject < 1.15, `${report.cacheMisses} cache misses for ${report.distinctObjects} objects`);
	assert.ok(report.inTime / report.requests > 0.7, `${report.inTime} of ${report.requests} in time`);
});

test('requests without an object key are distributed over all targets before their load is known', () => {
	const report = new FleetModel({ ...FLEET, keylessRatio: 1, requestsPerSecond: 150 }).simulate(4000);
	assert.ok(
		report.peakToMeanArrivals < 6,
		`arrivals at the busiest target ${report.peakToMeanArrivals.toFixed(1)} times the mean`
	);
	assert.equal(report.rejected + report.refused, 0);
});

test('a target that registers during the load gets requests, even if the hash assigns no object to it', () => {
	const model = new FleetModel(FLEET);
	const earlierIds = new Set<string>();
	model.afterStart(1000, () => {
		[...model.targets.keys()].forEach(id => earlierIds.add(id));
		['north', 'central', 'south'].forEach(region => model.addTarget(region));
	});
	model.simulate(6000);
	const added = [...model.targets.values()].filter(target => !earlierIds.has(target.id));
	assert.equal(added.length, 3);
	added.forEach(target => assert.ok(target.arrivals > 0, `${target.id} got no request`));
});
