/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Heartbeats that were held up until another target had their address. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EarlierLives } from '../common/earlierLives.js';
import { FleetState } from '../common/fleetState.js';
import { TargetPhase } from '../common/fleetTypes.js';

test('a heartbeat of a target whose address another one took changes nothing', () => {
	const lives = new EarlierLives();
	const holder = { id: 'new', heardAt: 1000 };
	assert.equal(lives.isStale('old', true, holder, 9000), true);
	assert.equal(lives.isStale('new', true, holder, 9000), false);
	assert.equal(lives.isStale('alone', true, undefined, 9000), false);
});

test('at an address whose target is heard, only who goes on saying so is registered', () => {
	const lives = new EarlierLives();
	const holder = { id: 'here', heardAt: 1000 };
	assert.equal(lives.isStale('other', false, holder, 1500), true);
	assert.equal(lives.isStale('other', false, holder, 1510), true, 'what was held up arrives together');
	assert.equal(lives.isStale('other', false, holder, 2600), false, 'a target that runs says so again');
});

test('at an address whose target has fallen silent, a new one is registered at once', () => {
	const lives = new EarlierLives();
	assert.equal(lives.isStale('next', false, { id: 'crashed', heardAt: 1000 }, 4500), false);
});

test('the state knows who registered last at an address, also after it was saved', () => {
	const state = new FleetState();
	const register = (id: string, phase = TargetPhase.Serving): void => {
		const description = { id, service: 's', address: '127.0.0.1:1', hall: 'h', version: 'v', slots: 1 };
		state.apply({ type: 'changeTargets', changes: [{ id, phase, description }] });
	};
	register('first');
	register('second');
	assert.equal(state.holderOf('127.0.0.1:1'), 'second');
	const copy = new FleetState();
	copy.restore(state.save());
	assert.equal(copy.holderOf('127.0.0.1:1'), 'second');
	state.apply({ type: 'changeTargets', changes: [{ id: 'second', phase: TargetPhase.Gone }] });
	assert.equal(state.holderOf('127.0.0.1:1'), undefined);
	assert.equal(copy.holderOf('127.0.0.2:1'), undefined);
});
