/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How many requests are taken up in a turn of the event loop, while connections wait to be accepted and otherwise. */

import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { IntakeCost, IntakeTurns } from '../common/intakeTurns.js';

const TURN_MS = 10;
const STALL_MS = 1000;
let turns: IntakeTurns;

beforeEach(() => {
	turns = new IntakeTurns();
});

/** Takes up as many requests as the turn allows; returns their number. */
function takeAll(cost: IntakeCost): number {
	let taken = 0;
	for (; turns.mayTake; taken++) {
		turns.spend(cost);
	}
	return taken;
}

/** Begins turns that each accept a connection and take up what they may; returns the requests taken up. */
function runAccepting(count: number, cost: IntakeCost): number {
	let taken = 0;
	for (let i = 0; i < count; i++) {
		turns.recordAccept(i * TURN_MS, 0);
		turns.begin();
		taken += takeAll(cost);
	}
	return taken;
}

test('each turn takes up a few requests while no connection waits', () => {
	for (let i = 0; i < 5; i++) {
		assert.equal(takeAll(IntakeCost.PassedOn), 4);
		turns.begin();
		assert.equal(turns.isPending, false);
	}
	assert.equal(takeAll(IntakeCost.Refused), 16);
});

test('a single new connection leaves the turn its credit', () => {
	turns.recordAccept(0, 0);
	turns.begin();
	assert.equal(turns.isPending, true, 'the next turn tells whether more connections wait');
	assert.equal(takeAll(IntakeCost.PassedOn), 4);
});

/** Guards against connections that wait unseen because each turn of the event loop is filled with work. */
test('while connections keep coming, most turns only accept', () => {
	runAccepting(20, IntakeCost.PassedOn);
	assert.equal(runAccepting(40, IntakeCost.PassedOn), 10);
	turns.begin();
	assert.equal(takeAll(IntakeCost.PassedOn), 4, 'the first turn without a connection has all its credit');
});

test('refusals keep up with the connections that keep coming', () => {
	runAccepting(20, IntakeCost.Refused);
	assert.equal(runAccepting(40, IntakeCost.Refused), 40);
});

test('a connection may have waited since the first of those that were accepted one after the other', () => {
	const delays = [0, 1, 2, 3].map(i => {
		const { delayMs } = turns.recordAccept(STALL_MS + i * TURN_MS, i === 0 ? STALL_MS : 0);
		turns.begin();
		return delayMs;
	});
	assert.deepEqual(delays, [STALL_MS, STALL_MS + TURN_MS, STALL_MS + 2 * TURN_MS, STALL_MS + 3 * TURN_MS]);
	turns.begin();
	assert.equal(turns.recordAccept(2 * STALL_MS, 0).delayMs, 0);
});

test('what a connection sends later has not waited with it', () => {
	turns.recordAccept(0, 0);
	turns.begin();
	const acceptance = turns.recordAccept(STALL_MS, 0);
	assert.equal(turns.acceptDelayMs(acceptance), STALL_MS);
	turns.begin();
	assert.equal(turns.acceptDelayMs(acceptance), STALL_MS, 'read in the turn after it was accepted');
	turns.begin();
	assert.equal(turns.acceptDelayMs(acceptance), 0);
});
