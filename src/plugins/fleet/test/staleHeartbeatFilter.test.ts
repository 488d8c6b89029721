/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A delayed heartbeat must not register a crashed target again at an address that another target has taken over. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StaleHeartbeatFilter } from '../common/staleHeartbeatFilter.js';
import { FleetState } from '../common/fleetState.js';
import { TargetPhase } from '../common/fleetTypes.js';

test('a heartbeat of a registered target is stale if another one has taken over its address', () => {
	const filter = new StaleHeartbeatFilter();
	const owner = { id: 'new', lastHeartbeatAt: 1000 };
	assert.equal(filter.isStale('old', true, owner, 9000), true);
	assert.equal(filter.isStale('new', true, owner, 9000), false);
	assert.equal(filter.isStale('alone', true, undefined, 9000), false);
});

test('at the address of a live target, a new target is only registered after a confirming heartbeat', () => {
	const filter = new StaleHeartbeatFilter();
	const owner = { id: 'here', lastHeartbeatAt: 1000 };
	assert.equal(filter.isStale('other', false, owner, 1500), true);
	assert.equal(
		filter.isStale('other', false, owner, 1510),
		true,
		'delayed heartbeats arrive together and confirm nothing'
	);
	assert.equal(filter.isStale('other', false, owner, 2600), false, 'a running target sends a confirming heartbeat');
});

test('at the address of a silent target, a new target is registered at once', () => {
	const filter = new StaleHeartbeatFilter();
	assert.equal(filter.isStale('next', false, { id: 'crashed', lastHeartbeatAt: 1000 }, 4500), false);
});

test('the fleet state keeps the last target registered at an address, also after save and restore', () => {
	const state = new FleetState();
	const register = (id: string, phase = TargetPhase.Serving): void => {
		const description = { id, service: 's', address: '127.0.0.1:1', hall: 'h', version: 'v', slots: 1 };
		state.apply({ type: 'changeTargets', changes: [{ id, phase, description }] });
	};
	register('first');
	register('second');
	assert.equal(state.targetIdAt('127.0.0.1:1'), 'second');
	const copy = new FleetState();
	copy.restore(state.save());
	assert.equal(copy.targetIdAt('127.0.0.1:1'), 'second');
	state.apply({ type: 'changeTargets', changes: [{ id: 'second', phase: TargetPhase.Gone }] });
	assert.equal(state.targetIdAt('127.0.0.1:1'), undefined);
	assert.equal(copy.targetIdAt('127.0.0.2:1'), undefined);
});
