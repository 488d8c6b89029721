/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How many requests are taken up in a turn of the event loop, while connections wait to be accepted and otherwise. */

import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { IntakeCost, IntakeTurns, MAX_UNACCEPTED } from '../common/intakeTurns.js';

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

test('connections that come one after the other behind a stall may have waited since it began', () => {
	const accept = (at: number, readDelayMs: number): number => {
		const { delayMs } = turns.recordAccept(at, readDelayMs);
		turns.begin();
		return delayMs;
	};
	assert.equal(accept(STALL_MS, STALL_MS), STALL_MS);
	for (let i = 1; i < MAX_UNACCEPTED; i++) {
		assert.equal(accept(STALL_MS + i * TURN_MS, 0), STALL_MS + i * TURN_MS);
	}
	assert.equal(accept(2 * STALL_MS, 0), 0, 'no more than the queue holds');
});

/** Guards against a short stall, of a process that has hardly any processor, that hides the long one before it. */
test('connections behind two stalls may have waited since the first began', () => {
	turns.recordAccept(STALL_MS, STALL_MS);
	turns.begin();
	assert.equal(turns.recordAccept(STALL_MS + TURN_MS, TURN_MS).delayMs, STALL_MS + TURN_MS);
	turns.begin();
	assert.equal(turns.recordAccept(STALL_MS + 2 * TURN_MS, 0).delayMs, STALL_MS + 2 * TURN_MS);
});

/** Guards against requests that are refused for a wait that they did not have. */
test('connections that come one after the other without a stall have not waited', () => {
	for (let i = 0; i < 100; i++) {
		assert.equal(turns.recordAccept(i * TURN_MS, 0).delayMs, 0);
		turns.begin();
	}
});

test('a connection that comes after a turn without one has not waited for the stall before', () => {
	turns.recordAccept(STALL_MS, STALL_MS);
	turns.begin();
	turns.begin();
	assert.equal(turns.recordAccept(STALL_MS + TURN_MS, 0).delayMs, 0);
});

test('what a connection sends later has not waited with it', () => {
	const acceptance = turns.recordAccept(STALL_MS, STALL_MS);
	assert.equal(turns.acceptDelayMs(acceptance), STALL_MS);
	turns.begin();
	assert.equal(turns.acceptDelayMs(acceptance), STALL_MS, 'read in the turn after it was accepted');
	turns.begin();
	assert.equal(turns.acceptDelayMs(acceptance), 0);
});
