/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The sum of a team's requests over all instances, whatever is lost, late or started again on the way. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { sendRandomRequests, LimitSimulation, DEFAULT_HOLDER_COUNT, overload, POLICY } from './limitSimulation.js';
import { multiLeaderStep, runSteps, singleLeaderStep } from './limitSimulationSteps.js';
import { CREDIT_LIFETIME_MS, maxRequestsPerWindow } from '../common/limitTerms.js';

function assertWithinLimit(simulation: LimitSimulation): void {
	assert.ok(
		simulation.maxAdmittedInWindow() <= simulation.maxAllowedInWindow,
		`${simulation.maxAdmittedInWindow()} of ${simulation.maxAllowedInWindow}`
	);
}

const limits = fc.record({
	perSecond: fc.integer({ min: 1, max: 60 }),
	burst: fc.integer({ min: 0, max: 60 })
});

test('the sum of a window holds for every interleaving of requests, renewals, losses and restarts', () => {
	const steps = fc.array(singleLeaderStep, { minLength: 50, maxLength: 400 });
	fc.assert(
		fc.property(limits, steps, (limit, items) => {
			const simulation = new LimitSimulation(limit);
			runSteps(simulation, items);
			assertWithinLimit(simulation);
		}),
		{ numRuns: 400 }
	);
});

test('it holds when the leader changes, also while holders go on with what they have', () => {
	const steps = fc.array(singleLeaderStep, { minLength: 50, maxLength: 200 });
	fc.assert(
		fc.property(limits, steps, fc.integer({ min: 0, max: 3000 }), steps, (limit, before, gapMs, later) => {
			const simulation = new LimitSimulation(limit);
			runSteps(simulation, before);
			simulation.now += gapMs;
			for (let i = 0; i < DEFAULT_HOLDER_COUNT; i++) {
				simulation.request(i, 20);
			}
			simulation.changeLeader();
			runSteps(simulation, later);
			assertWithinLimit(simulation);
		}),
		{ numRuns: 400 }
	);
});

test('it holds with any number of leaders, losses of all power and rests', () => {
	const steps = fc.array(multiLeaderStep, { minLength: 100, maxLength: 400 });
	fc.assert(
		fc.property(limits, steps, (limit, items) => {
			const simulation = new LimitSimulation(limit);
			runSteps(simulation, items);
			assertWithinLimit(simulation);
		}),
		{ numRuns: 400 }
	);
});

test('what holders that are cut off may still spend is kept back from the others', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	overload(simulation, 10000, []);
	overload(simulation, 10000, [0, 1, 2]);
	assertWithinLimit(simulation);
});

test('a new leader leaves room for holders that go on with the credits of the one before', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	overload(simulation, 10000, []);
	simulation.changeLeader();
	overload(simulation, 10000, [0, 1, 2, 3, 4]);
	assertWithinLimit(simulation);
});

test('credits that the leader before gave out and those of the new one are within the sum together', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	overload(simulation, 10000, [], [1, 2, 3, 4, 5]);
	overload(simulation, 200, [], [0, 1, 2, 3, 4, 5]);
	simulation.changeLeader();
	overload(simulation, CREDIT_LIFETIME_MS - 400, [0], [0]);
	overload(simulation, 300, [0]);
	overload(simulation, 5000, []);
	assertWithinLimit(simulation);
});

test('a lowered limit holds once what was held has lapsed', () => {
	const simulation = new LimitSimulation({ perSecond: 50, burst: 50 });
	for (let i = 0; i < 200; i++) {
		simulation.now += 50;
		simulation.request(i % DEFAULT_HOLDER_COUNT, 3);
		simulation.renewAll();
	}
	simulation.limit.perSecond = 5;
	simulation.limit.burst = 5;
	const lapsedAt = simulation.now + CREDIT_LIFETIME_MS;
	for (let i = 0; i < 400; i++) {
		simulation.now += 50;
		simulation.request(i % DEFAULT_HOLDER_COUNT, 3);
		simulation.renewAll();
	}
	const late = simulation.admittedAt.filter(at => at > lapsedAt);
	simulation.admittedAt.length = 0;
	simulation.admittedAt.push(...late);
	assertWithinLimit(simulation);
});

test('teams of every size that stay within their limit are hardly ever turned away', () => {
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

test('the holders of six halls have credits at hand for teams within their limit', () => {
	for (const [perSecond, burst, mostAsked] of [
		[5, 5, 1 / 3],
		[20, 20, 1 / 8],
		[300, 300, 1 / 25]
	] as const) {
		const simulation = new LimitSimulation({ perSecond, burst });
		simulation.now += 10000;
		const { count, asked } = sendRandomRequests(simulation, perSecond * 0.63, 60000);
		assert.ok(asked <= count * mostAsked, `${perSecond} a second: ${asked} of ${count} waited for the leader`);
		assert.ok(simulation.refusedCount <= count / 1000, `${perSecond} a second: ${simulation.refusedCount} of ${count}`);
		assertWithinLimit(simulation);
	}
});

test('after a loss of all power a team finds credits at once where the leader before had settled', () => {
	const simulation = new LimitSimulation({ perSecond: 20, burst: 20 });
	sendRandomRequests(simulation, 12, 15000);
	runSteps(simulation, [{ type: 'loseAllPower' }]);
	const before = simulation.refusedCount;
	const { count } = sendRandomRequests(simulation, 24, 1000);
	assert.ok(simulation.refusedCount - before <= count / 4, `${simulation.refusedCount - before} of ${count}`);
	assertWithinLimit(simulation);
});

test('a holder that hears nothing spends what it holds, and nothing once that has lapsed', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 20 });
	for (let i = 0; i < 100; i++) {
		simulation.now += 100;
		simulation.request(0, 1);
		simulation.renew(0, 'answered');
		simulation.updateCeilings();
	}
	const cutAt = simulation.now;
	for (let i = 0; i < 100; i++) {
		simulation.now += 100;
		simulation.request(0, 1);
	}
	const between = (from: number, to: number): number =>
		simulation.admittedAt.filter(at => at > cutAt + from && at <= cutAt + to).length;
	assert.ok(between(0, CREDIT_LIFETIME_MS) >= 10, `${between(0, CREDIT_LIFETIME_MS)}`);
	assert.equal(between(CREDIT_LIFETIME_MS, 10000), 0);
});

test('a team that sends as much as its limit allows in each window is let through', () => {
	for (const perSecond of [8, 45, 248]) {
		const simulation = new LimitSimulation({ perSecond, burst: perSecond });
		sendRandomRequests(simulation, perSecond, 20000);
		const { count } = sendRandomRequests(simulation, 1.05 * perSecond, 20000);
		assert.ok(simulation.refusedCount <= count / 100, `${perSecond}: ${simulation.refusedCount} of ${count}`);
		assertWithinLimit(simulation);
	}
});

test('a new leader of teams at their usual rate turns little away', () => {
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

test('a leader that lasts for a moment leaves its successor room', () => {
	for (const perSecond of [8, 45, 248]) {
		const simulation = new LimitSimulation({ perSecond, burst: perSecond });
		sendRandomRequests(simulation, 0.45 * perSecond, 15000);
		runSteps(simulation, [{ type: 'loseAllPower' }]);
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

test('the bound of a window leaves a part for requests that arrive closer together than they were sent', () => {
	assert.equal(maxRequestsPerWindow({ perSecond: 10, burst: 10 }, POLICY), Math.floor(0.92 * (60 * 1.1 + 20)));
});
