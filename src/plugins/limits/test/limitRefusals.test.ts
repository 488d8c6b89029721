/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Few requests of teams within their limit are refused or wait for the leader, also after restarts and leader changes. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assertWithinLimit, LimitSimulation, sendRandomRequests } from './limitSimulation.js';
import { runSteps } from './limitSimulationSteps.js';

test('at most one in 1000 requests of teams within their limit is refused', () => {
	for (const [perSecond, burst, instances] of [
		[5, 5, 22],
		[20, 20, 22],
		[300, 300, 66]
	] as const) {
		const simulation = new LimitSimulation({ perSecond, burst }, instances);
		simulation.now += 10000;
		const { count } = sendRandomRequests(simulation, perSecond * 0.63, 60000);
		assert.ok(simulation.refusedCount <= count / 1000, `${perSecond} a second: ${simulation.refusedCount} of ${count}`);
		assertWithinLimit(simulation);
	}
});

test('holders in six data halls rarely call the leader for teams within their limit', () => {
	for (const [perSecond, burst, maxRenewalFraction] of [
		[5, 5, 1 / 3],
		[20, 20, 1 / 8],
		[300, 300, 1 / 25]
	] as const) {
		const simulation = new LimitSimulation({ perSecond, burst });
		simulation.now += 10000;
		const { count, renewals } = sendRandomRequests(simulation, perSecond * 0.63, 60000);
		assert.ok(
			renewals <= count * maxRenewalFraction,
			`${perSecond} a second: ${renewals} of ${count} waited for the leader`
		);
		assert.ok(simulation.refusedCount <= count / 1000, `${perSecond} a second: ${simulation.refusedCount} of ${count}`);
		assertWithinLimit(simulation);
	}
});

test('after a restart of all holders a team gets credits at once if the previous leader had settled', () => {
	const simulation = new LimitSimulation({ perSecond: 20, burst: 20 });
	sendRandomRequests(simulation, 12, 15000);
	runSteps(simulation, [{ type: 'restartAll' }]);
	const before = simulation.refusedCount;
	const { count } = sendRandomRequests(simulation, 24, 1000);
	assert.ok(simulation.refusedCount - before <= count / 4, `${simulation.refusedCount - before} of ${count}`);
	assertWithinLimit(simulation);
});

test('at most 1 % of the requests of a team that uses its whole limit is refused', () => {
	for (const perSecond of [8, 45, 248]) {
		const simulation = new LimitSimulation({ perSecond, burst: perSecond });
		sendRandomRequests(simulation, perSecond, 20000);
		const { count } = sendRandomRequests(simulation, 1.05 * perSecond, 20000);
		assert.ok(simulation.refusedCount <= count / 100, `${perSecond}: ${simulation.refusedCount} of ${count}`);
		assertWithinLimit(simulation);
	}
});

test('a new leader refuses few requests of teams below half of their limit', () => {
	for (const perSecond of [8, 45, 248]) {
		const simulation = new LimitSimulation({ perSecond, burst: perSecond });
		sendRandomRequests(simulation, 0.45 * perSecond, 15000);
		const before = simulation.refusedCount;
		simulation.changeLeader();
		const { count } = sendRandomRequests(simulation, 0.45 * perSecond, 10000);
		assert.ok(
			simulation.refusedCount - before <= count / 6,
			`${perSecond}: ${simulation.refusedCount - before} of ${count}`
		);
		assertWithinLimit(simulation);
	}
});

test('a leader change soon after a restart of all holders leaves capacity for the new leader', () => {
	for (const perSecond of [8, 45, 248]) {
		const simulation = new LimitSimulation({ perSecond, burst: perSecond });
		sendRandomRequests(simulation, 0.45 * perSecond, 15000);
		runSteps(simulation, [{ type: 'restartAll' }]);
		sendRandomRequests(simulation, 0.45 * perSecond, 300);
		simulation.changeLeader();
		const before = simulation.refusedCount;
		const { count } = sendRandomRequests(simulation, 0.45 * perSecond, 10000);
		assert.ok(
			simulation.refusedCount - before <= count / 3,
			`${perSecond}: ${simulation.refusedCount - before} of ${count}`
		);
		assertWithinLimit(simulation);
	}
});
