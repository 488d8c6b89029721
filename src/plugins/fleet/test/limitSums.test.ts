/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The sum of what all instances send to a target with a limit, whatever is lost, late or believed: permits come from the parts that senders
 * hold, and a part has one holder at a time.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { PaceKeeper } from '../node/paceKeeper.js';
import type { FleetCommand } from '../common/fleetTypes.js';
import { PacedFleet, TARGET_ID } from './pacedFleet.js';

const WINDOW_MS = 4000;
const INSTANCES = 5;
const SENDERS = ['e-0', 'e-1'];
const NO_LOG = { info: () => undefined, warn: () => undefined } as never;

/** A leader that replaces senders by what it hears. */
function keeperOf(fleet: PacedFleet): PaceKeeper {
	const orders = { orderAtLeader: async (command: FleetCommand) => fleet.apply(command) } as never;
	const agreement = { hasLease: () => true } as never;
	return new PaceKeeper(fleet.state, fleet.sightings, orders, agreement, new Map([['h', 'r']]), NO_LOG);
}

function most(perSecond: number): number {
	return Math.floor((perSecond * WINDOW_MS) / 1000) + SENDERS.length;
}

const step = fc.oneof(
	{ weight: 80, arbitrary: fc.record({ type: fc.constant('request'), at: fc.nat(4), isLost: fc.boolean() }) },
	{ weight: 20, arbitrary: fc.record({ type: fc.constant('pass'), ms: fc.integer({ min: 1, max: 700 }) }) },
	// A sender that is out of touch, for less or more than its leave lasts.
	{
		weight: 1,
		arbitrary: fc.record({
			type: fc.constant('absence'),
			at: fc.nat(1),
			ms: fc.integer({ min: 600, max: 17000 })
		})
	},
	{ weight: 1, arbitrary: fc.record({ type: fc.constant('cut'), at: fc.nat(4), isCutOff: fc.boolean() }) },
	{ weight: 1, arbitrary: fc.record({ type: fc.constant('restart'), at: fc.nat(4) }) }
);

function play(fleet: PacedFleet, keeper: PaceKeeper, steps: readonly Record<string, unknown>[]): void {
	for (const { type, at, ms, isLost, isCutOff } of steps) {
		switch (type) {
			case 'request':
				fleet.request(at as number, isLost as boolean);
				break;
			case 'pass':
				fleet.pass(ms as number);
				keeper.renewSenders(0, fleet.now);
				break;
			case 'absence':
				fleet.setCutOff(at as number, true);
				fleet.pass(ms as number);
				keeper.renewSenders(0, fleet.now);
				break;
			case 'cut':
				fleet.setCutOff(at as number, isCutOff as boolean);
				break;
			case 'restart':
				fleet.restart(at as number);
				break;
		}
	}
}

test('no window holds more than the limit allows and one for each sender, through cuts, restarts, lost calls and new senders', () => {
	fc.assert(
		fc.property(
			fc.constantFrom(0.5, 2, 6.2),
			fc.array(step, { minLength: 200, maxLength: 500 }),
			(perSecond, steps) => {
				const fleet = new PacedFleet(INSTANCES, SENDERS, perSecond);
				play(fleet, keeperOf(fleet), steps);
				assert.ok(fleet.mostInWindow(WINDOW_MS) <= most(perSecond), `${fleet.mostInWindow(WINDOW_MS)} at ${perSecond}`);
			}
		),
		{ numRuns: 300 }
	);
});

test('the limit is used where callers come to instances that are no senders', () => {
	const fleet = new PacedFleet(INSTANCES, SENDERS, 6);
	for (let i = 0; i < 2000; i++) {
		fleet.pass(10);
		fleet.request(2 + (i % 3), false);
	}
	assert.ok(fleet.sentAt.length >= 0.9 * 6 * 20, `${fleet.sentAt.length} of 120`);
	assert.ok(fleet.mostInWindow(WINDOW_MS) <= most(6));
});

test('a sender goes on by its part while it is cut off, until another one may hold it', () => {
	const fleet = new PacedFleet(INSTANCES, SENDERS, 2);
	const keeper = keeperOf(fleet);
	assert.ok(!fleet.request(0, false));
	fleet.setCutOff(0, true);
	fleet.pass(9000);
	keeper.renewSenders(0, fleet.now);
	assert.ok(fleet.request(0, false));
	assert.deepEqual(fleet.record.pacedSenders, SENDERS);
	fleet.pass(2000);
	assert.ok(!fleet.request(0, false));
	fleet.pass(5000);
	keeper.renewSenders(0, fleet.now);
	assert.equal(fleet.record.pacedSenders.length, 2);
	assert.ok(fleet.record.pacedSenders.includes('e-1'));
	assert.ok(!fleet.record.pacedSenders.includes('e-0'));
});

test('a leader that has heard of all for a short time replaces nobody', () => {
	const fleet = new PacedFleet(INSTANCES, SENDERS, 2);
	fleet.setCutOff(0, true);
	fleet.pass(20000);
	keeperOf(fleet).renewSenders(fleet.now - 14000, fleet.now);
	assert.deepEqual(fleet.record.pacedSenders, SENDERS);
	keeperOf(fleet).renewSenders(undefined, fleet.now);
	assert.deepEqual(fleet.record.pacedSenders, SENDERS);
});

test('a target that was registered before any instance was heard gets senders as soon as it names a limit', () => {
	const fleet = new PacedFleet(INSTANCES, [], 2);
	assert.ok(!fleet.request(0, false));
	keeperOf(fleet).renewSenders(fleet.now, fleet.now);
	assert.equal(fleet.record.pacedSenders.length, 2);
	fleet.pass(1000);
	fleet.pass(1000);
	assert.ok([0, 1, 2, 3, 4].some(index => fleet.request(index, false)));
});

test('what instances tell of a limit changes the record of that life only, and is not told twice', () => {
	const fleet = new PacedFleet(INSTANCES, SENDERS, 2);
	const { revision } = fleet.state;
	fleet.apply({ type: 'paceTargets', changes: [{ id: TARGET_ID, bornAt: 6, limitPerSecond: null }] });
	fleet.apply({ type: 'paceTargets', changes: [{ id: TARGET_ID, bornAt: 7, limitPerSecond: 2 }] });
	assert.equal(fleet.state.revision, revision);
	fleet.apply({ type: 'paceTargets', changes: [{ id: TARGET_ID, bornAt: 7, limitPerSecond: null }] });
	assert.equal(fleet.record.limitPerSecond, undefined);
	assert.ok(!('limitPerSecond' in fleet.record));
	fleet.pass(100);
	assert.ok([1, 2, 3].every(() => fleet.request(2, false)));
});
