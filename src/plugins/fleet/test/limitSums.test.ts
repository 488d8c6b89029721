/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * All entry instances together never exceed the limit of a target, despite lost calls, disconnections, restarts and replaced senders:
 * permits come from the senders' shares, and each share has one holder at a time.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { TargetLimitManager } from '../node/targetLimitManager.js';
import type { FleetCommand } from '../common/fleetTypes.js';
import { LimitedTargetSimulation, TARGET_ID } from './limitedTargetSimulation.js';

const WINDOW_MS = 4000;
const INSTANCES = 5;
const SENDERS = ['e-0', 'e-1'];
const NO_LOG = { info: () => undefined, warn: () => undefined } as never;

/** A manager at the leader, which replaces senders according to the simulated liveness data. */
function createManager(simulation: LimitedTargetSimulation): TargetLimitManager {
	const commands = { submitToLeader: async (command: FleetCommand) => simulation.apply(command) } as never;
	const agreement = { hasLease: () => true } as never;
	return new TargetLimitManager(
		simulation.state,
		simulation.liveness,
		commands,
		agreement,
		new Map([['h', 'r']]),
		NO_LOG
	);
}

function maxRequests(perSecond: number): number {
	return Math.floor((perSecond * WINDOW_MS) / 1000) + SENDERS.length;
}

const step = fc.oneof(
	{ weight: 80, arbitrary: fc.record({ type: fc.constant('request'), at: fc.nat(4), isLost: fc.boolean() }) },
	{ weight: 20, arbitrary: fc.record({ type: fc.constant('advance'), ms: fc.integer({ min: 1, max: 700 }) }) },
	// A disconnected sender, for less or more than the duration of its lease.
	{
		weight: 1,
		arbitrary: fc.record({
			type: fc.constant('outage'),
			at: fc.nat(1),
			ms: fc.integer({ min: 600, max: 17000 })
		})
	},
	{
		weight: 1,
		arbitrary: fc.record({ type: fc.constant('setDisconnected'), at: fc.nat(4), isDisconnected: fc.boolean() })
	},
	{ weight: 1, arbitrary: fc.record({ type: fc.constant('restart'), at: fc.nat(4) }) }
);

function runSteps(
	simulation: LimitedTargetSimulation,
	manager: TargetLimitManager,
	steps: readonly Record<string, unknown>[]
): void {
	for (const { type, at, ms, isLost, isDisconnected } of steps) {
		switch (type) {
			case 'request':
				simulation.request(at as number, isLost as boolean);
				break;
			case 'advance':
				simulation.advance(ms as number);
				manager.updateSenders(0, simulation.now);
				break;
			case 'outage':
				simulation.setDisconnected(at as number, true);
				simulation.advance(ms as number);
				manager.updateSenders(0, simulation.now);
				break;
			case 'setDisconnected':
				simulation.setDisconnected(at as number, isDisconnected as boolean);
				break;
			case 'restart':
				simulation.restart(at as number);
				break;
		}
	}
}

test('no window exceeds the limit plus one request per sender, despite disconnections, restarts, lost calls and new senders', () => {
	fc.assert(
		fc.property(
			fc.constantFrom(0.5, 2, 6.2),
			fc.array(step, { minLength: 200, maxLength: 500 }),
			(perSecond, steps) => {
				const simulation = new LimitedTargetSimulation(INSTANCES, SENDERS, perSecond);
				runSteps(simulation, createManager(simulation), steps);
				assert.ok(
					simulation.maxInWindow(WINDOW_MS) <= maxRequests(perSecond),
					`${simulation.maxInWindow(WINDOW_MS)} at ${perSecond}`
				);
			}
		),
		{ numRuns: 300 }
	);
});

test('the limit is used when callers reach instances that are not senders', () => {
	const simulation = new LimitedTargetSimulation(INSTANCES, SENDERS, 6);
	for (let i = 0; i < 2000; i++) {
		simulation.advance(10);
		simulation.request(2 + (i % 3), false);
	}
	assert.ok(simulation.sentAt.length >= 0.9 * 6 * 20, `${simulation.sentAt.length} of 120`);
	assert.ok(simulation.maxInWindow(WINDOW_MS) <= maxRequests(6));
});

test('a disconnected sender keeps using its share until it may be assigned to another one', () => {
	const simulation = new LimitedTargetSimulation(INSTANCES, SENDERS, 2);
	const manager = createManager(simulation);
	assert.ok(!simulation.request(0, false));
	simulation.setDisconnected(0, true);
	simulation.advance(9000);
	manager.updateSenders(0, simulation.now);
	assert.ok(simulation.request(0, false));
	assert.deepEqual(simulation.record.pacedSenders, SENDERS);
	simulation.advance(2000);
	assert.ok(!simulation.request(0, false));
	simulation.advance(5000);
	manager.updateSenders(0, simulation.now);
	assert.equal(simulation.record.pacedSenders.length, 2);
	assert.ok(simulation.record.pacedSenders.includes('e-1'));
	assert.ok(!simulation.record.pacedSenders.includes('e-0'));
});

test('a leader whose liveness data is complete only since recently replaces no sender', () => {
	const simulation = new LimitedTargetSimulation(INSTANCES, SENDERS, 2);
	simulation.setDisconnected(0, true);
	simulation.advance(20000);
	createManager(simulation).updateSenders(simulation.now - 14000, simulation.now);
	assert.deepEqual(simulation.record.pacedSenders, SENDERS);
	createManager(simulation).updateSenders(undefined, simulation.now);
	assert.deepEqual(simulation.record.pacedSenders, SENDERS);
});

test('a target registered while no instance was known is assigned senders once it announces a limit', () => {
	const simulation = new LimitedTargetSimulation(INSTANCES, [], 2);
	assert.ok(!simulation.request(0, false));
	createManager(simulation).updateSenders(simulation.now, simulation.now);
	assert.equal(simulation.record.pacedSenders.length, 2);
	simulation.advance(1000);
	simulation.advance(1000);
	assert.ok([0, 1, 2, 3, 4].some(index => simulation.request(index, false)));
});

test('a reported limit changes only the record of that incarnation, and an unchanged one adds no revision', () => {
	const simulation = new LimitedTargetSimulation(INSTANCES, SENDERS, 2);
	const { revision } = simulation.state;
	simulation.apply({ type: 'paceTargets', changes: [{ id: TARGET_ID, bornAt: 6, limitPerSecond: null }] });
	simulation.apply({ type: 'paceTargets', changes: [{ id: TARGET_ID, bornAt: 7, limitPerSecond: 2 }] });
	assert.equal(simulation.state.revision, revision);
	simulation.apply({ type: 'paceTargets', changes: [{ id: TARGET_ID, bornAt: 7, limitPerSecond: null }] });
	assert.equal(simulation.record.limitPerSecond, undefined);
	assert.ok(!('limitPerSecond' in simulation.record));
	simulation.advance(100);
	assert.ok([1, 2, 3].every(() => simulation.request(2, false)));
});
