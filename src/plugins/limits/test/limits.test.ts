/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The limit of a team over all instances holds under message loss, delays, restarts and leader changes. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { assertWithinLimit, DEFAULT_HOLDER_COUNT, LimitSimulation, overload, POLICY } from './limitSimulation.js';
import { multiLeaderStep, runSteps, type SimulationStep, singleLeaderStep } from './limitSimulationSteps.js';
import { CREDIT_LIFETIME_MS, maxRequestsPerWindow } from '../common/limitPolicy.js';

const limits = fc.record({
	perSecond: fc.integer({ min: 1, max: 60 }),
	burst: fc.integer({ min: 0, max: 60 })
});

/** Runs the steps of drawn schedules, each under a drawn limit. */
function assertSchedulesWithinLimit(schedules: fc.Arbitrary<SimulationStep[]>): void {
	fc.assert(
		fc.property(limits, schedules, (limit, steps) => {
			const simulation = new LimitSimulation(limit);
			runSteps(simulation, steps);
			assertWithinLimit(simulation);
		}),
		{ numRuns: 400 }
	);
}

test('no window exceeds the limit, for any interleaving of requests, renewals, message losses and restarts', () => {
	assertSchedulesWithinLimit(fc.array(singleLeaderStep, { minLength: 50, maxLength: 400 }));
});

test('no window exceeds the limit after a leader change while holders spend credits of the previous leader', () => {
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

test('no window exceeds the limit with any number of leader changes, restarts of all holders and idle times', () => {
	assertSchedulesWithinLimit(fc.array(multiLeaderStep, { minLength: 100, maxLength: 400 }));
});

test('no window exceeds the limit when all instances restart at once under load, whatever the log still gets', () => {
	const steps = fc.array(singleLeaderStep, { minLength: 20, maxLength: 100 });
	const phases = fc.array(fc.record({ steps, overloadMs: fc.integer({ min: 0, max: 4000 }), downMs: fc.nat(2000) }), {
		minLength: 2,
		maxLength: 5
	});
	fc.assert(
		fc.property(limits, phases, (limit, items) => {
			const simulation = new LimitSimulation(limit);
			for (const phase of items) {
				overload(simulation, phase.overloadMs, []);
				runSteps(simulation, phase.steps);
				simulation.restartEverything(phase.downMs);
			}
			overload(simulation, 2000, []);
			assertWithinLimit(simulation);
		}),
		{ numRuns: 200 }
	);
});

test('credits that disconnected holders may still spend are not granted to others', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	overload(simulation, 10000, []);
	overload(simulation, 10000, [0, 1, 2]);
	assertWithinLimit(simulation);
});

test('a new leader reserves capacity for holders that spend credits of the previous one', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	overload(simulation, 10000, []);
	simulation.changeLeader();
	overload(simulation, 10000, [0, 1, 2, 3, 4]);
	assertWithinLimit(simulation);
});

test('credits of the previous and the new leader together stay within the limit', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	overload(simulation, 10000, [], [1, 2, 3, 4, 5]);
	overload(simulation, 200, [], [0, 1, 2, 3, 4, 5]);
	simulation.changeLeader();
	overload(simulation, CREDIT_LIFETIME_MS - 400, [0], [0]);
	overload(simulation, 300, [0]);
	overload(simulation, 5000, []);
	assertWithinLimit(simulation);
});

test('credits of the previous leader count until a window after the last one may have been spent', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	simulation.renewUrgently(0, 150, 'answered');
	simulation.changeLeader();
	simulation.now += CREDIT_LIFETIME_MS - 100;
	simulation.request(0, 150);
	simulation.now += 2700;
	overload(simulation, 2000, [0], [0]);
	assertWithinLimit(simulation);
});

test('a leader that was restarted counts all requests of the window before', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	overload(simulation, 10000, []);
	simulation.renewAll();
	simulation.restoreState();
	overload(simulation, 5000, []);
	assertWithinLimit(simulation);
});

test('credits given back long after they were spent free nothing in the window', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	simulation.renewUrgently(0, 150, 'answered');
	simulation.request(0, 150);
	simulation.admittedAt.length = 0;
	simulation.renew(0, 'answered');
	simulation.now += POLICY.windowMs + 100;
	overload(simulation, 500, [0], [0]);
	simulation.giveBackLate(0, 150);
	simulation.renew(0, 'answered');
	overload(simulation, 3000, [0], [0]);
	assertWithinLimit(simulation);
});

test('credits given back with the report of later ones leave these in the window for its whole length', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	simulation.renewUrgently(0, 150, 'answered');
	simulation.request(0, 150);
	simulation.admittedAt.length = 0;
	simulation.renew(0, 'answered');
	for (let i = 0; i < 4; i++) {
		simulation.now += 900;
		simulation.renew(0, 'answered');
	}
	simulation.renewUrgently(0, 150, 'answered');
	simulation.request(0, 150);
	simulation.giveBackLate(0, 150);
	simulation.renew(0, 'answered');
	simulation.now += 1500;
	overload(simulation, 3000, [0], [0]);
	assertWithinLimit(simulation);
});

test('a lowered limit holds once held credits have expired', () => {
	const simulation = new LimitSimulation({ perSecond: 50, burst: 50 });
	for (let i = 0; i < 200; i++) {
		simulation.now += 50;
		simulation.request(i % DEFAULT_HOLDER_COUNT, 3);
		simulation.renewAll();
	}
	simulation.limit.perSecond = 5;
	simulation.limit.burst = 5;
	const expiredAt = simulation.now + CREDIT_LIFETIME_MS;
	for (let i = 0; i < 400; i++) {
		simulation.now += 50;
		simulation.request(i % DEFAULT_HOLDER_COUNT, 3);
		simulation.renewAll();
	}
	const late = simulation.admittedAt.filter(at => at > expiredAt);
	simulation.admittedAt.length = 0;
	simulation.admittedAt.push(...late);
	assertWithinLimit(simulation);
});

test('a disconnected holder spends its credits until they expire, and none after that', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 20 });
	for (let i = 0; i < 100; i++) {
		simulation.now += 100;
		simulation.request(0, 1);
		simulation.renew(0, 'answered');
		simulation.updateCeilings();
	}
	const disconnectedAt = simulation.now;
	for (let i = 0; i < 100; i++) {
		simulation.now += 100;
		simulation.request(0, 1);
	}
	const between = (from: number, to: number): number =>
		simulation.admittedAt.filter(at => at > disconnectedAt + from && at <= disconnectedAt + to).length;
	assert.ok(between(0, CREDIT_LIFETIME_MS) >= 10, `${between(0, CREDIT_LIFETIME_MS)}`);
	assert.equal(between(CREDIT_LIFETIME_MS, 10000), 0);
});

test('the maximum of a window leaves a margin for requests that arrive closer together than they were sent', () => {
	assert.equal(maxRequestsPerWindow({ perSecond: 10, burst: 10 }, POLICY), Math.floor(0.92 * (60 * 1.1 + 20)));
});
