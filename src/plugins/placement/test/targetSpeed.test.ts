/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Speed of targets from the work times that they report, and its use by their health. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RegionLoad } from '../common/regionLoad.js';
import { ServiceSpeed } from '../common/targets/serviceSpeed.js';
import type { LoadReport } from '../common/targets/targetReport.js';
import { TargetSpeed } from '../common/targets/targetSpeed.js';
import { TargetState } from '../common/targets/targetState.js';

function loadReport(workTimeFactor: number | undefined): LoadReport {
	return { running: 1, waiting: 0, slots: 6, workTimeFactor };
}

test('a reported factor counts at once and gives way to the mean of the service', () => {
	const service = new ServiceSpeed();
	const [one, other] = [new TargetSpeed(service), new TargetSpeed(service)];
	for (let now = 0; now < 2000; now += 100) {
		other.record(1, now);
	}
	one.record(2.5, 2000);
	assert.equal(one.factor(2000), 2.5);
	const mean = service.meanFactor();
	assert.ok(mean > 1 && mean < 1.2, `${mean}`);
	assert.ok(one.factor(2200) > 1.5 && one.factor(2200) < 2.5);
	assert.ok(Math.abs(one.factor(5000) - mean) < 0.01);
	assert.equal(new TargetSpeed(service).factor(5000), mean);
});

test('a target counts as slow for long only after several windows, and no longer once a report shows otherwise', () => {
	const speed = new TargetSpeed(new ServiceSpeed());
	speed.record(3, 0);
	speed.record(3, 300);
	speed.record(3, 700);
	assert.equal(speed.lastingFactor(800), undefined);
	speed.record(3, 1400);
	assert.equal(speed.lastingFactor(1500), 3);
	assert.equal(speed.lastingFactor(6000), 3);
	speed.record(1, 6000);
	assert.equal(speed.lastingFactor(6000), 1);
});

test('a factor that is stuck does not keep requests away for ever', () => {
	const speed = new TargetSpeed(new ServiceSpeed());
	for (let now = 0; now <= 3000; now += 500) {
		speed.record(100, now);
	}
	assert.equal(speed.lastingFactor(3000), 100);
	assert.equal(speed.lastingFactor(8100), undefined);
	speed.record(100, 8100);
	assert.equal(speed.lastingFactor(8100), 100, 'confirmed by one report');
});

test('a factor that the time of a response refutes is dropped', () => {
	const service = new ServiceSpeed();
	const [usual, stuck] = [new TargetSpeed(service), new TargetSpeed(service)];
	for (let now = 0; now <= 3000; now += 300) {
		usual.record(1, now);
		assert.equal(usual.recordResponse(200), 200);
		stuck.record(90, now);
		assert.equal(stuck.recordResponse(200), 200, 'counts as it took');
	}
	assert.equal(stuck.lastingFactor(3000), undefined);
	assert.equal(stuck.factor(3000), service.meanFactor());
	usual.record(2.5, 4000);
	assert.equal(usual.recordResponse(500), 200);
	assert.equal(usual.factor(4000), 2.5);
});

test('a slow phase that a target reports does not eject it, one that it does not report does', () => {
	const [telling, silent] = [1, 2].map(id => new TargetState(`t-${id}`, 0, 6, new RegionLoad()));
	for (let now = 0; now < 300; now += 100) {
		telling!.applyLoadReport(loadReport(3), now);
		telling!.recordResponse(600, 200, now);
		silent!.applyLoadReport(loadReport(undefined), now);
		silent!.recordResponse(600, 200, now);
	}
	assert.equal(telling!.health.isEjected(300), false);
	assert.equal(silent!.health.isEjected(300), true);
});

test('a factor below the usual does not make a target count as slow', () => {
	const state = new TargetState('t', 0, 6, new RegionLoad());
	for (let now = 0; now < 600; now += 100) {
		state.applyLoadReport(loadReport(0.01), now);
		state.recordResponse(200, 200, now);
	}
	assert.equal(state.health.isEjected(600), false);
});

test('a target that restarts loses the factors of its earlier run', () => {
	const service = new ServiceSpeed();
	const earlier = new TargetState('t', 0, 6, new RegionLoad(), service);
	[0, 700, 1400].forEach(now => earlier.applyLoadReport(loadReport(3), now));
	assert.equal(earlier.speed.lastingFactor(1400), 3);
	const later = new TargetState('t', 1, 6, new RegionLoad(), service);
	assert.equal(later.speed.lastingFactor(1400), undefined);
});
