/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The fleet's replicated state: one table a base, orders sent again, targets that only go forward. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RouteTable } from '../../routes/common/routeTable.js';
import { FleetState } from '../common/fleetState.js';
import { FleetRefusalCode, TargetPhase } from '../common/fleetTypes.js';

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

function publish(state: FleetState, version: number, base: number, digest = `d${version}`) {
	const table: RouteTable = { version, routes: [], services: [], teams: undefined, limits: LIMITS };
	return state.apply({ type: 'publishTable', base, table, document: `document ${version}`, digest });
}

function change(state: FleetState, id: string, phase: TargetPhase) {
	const description = { id, service: 's', address: '127.0.0.1:1', hall: 'h', version: 'v', slots: 1 };
	return state.apply({ type: 'changeTargets', changes: [{ id, phase, description }] });
}

test('of two tables on one base the first is taken and the second refused', () => {
	const state = new FleetState();
	assert.equal(publish(state, 3, 0).ok, true);
	const second = publish(state, 4, 0, 'other');
	assert.deepEqual([second.ok, !second.ok && second.code], [false, FleetRefusalCode.BaseMoved]);
	assert.equal(state.published?.document, 'document 3');
});

test('the same order again is acknowledged, also after a later one; another content under its number is refused', () => {
	const state = new FleetState();
	publish(state, 3, 0);
	publish(state, 5, 3);
	assert.equal(publish(state, 3, 0).ok, true);
	assert.equal(publish(state, 3, 0, 'other').ok, false);
	assert.equal(state.published?.table.version, 5);
	const same = publish(state, 5, 5, 'other');
	assert.deepEqual([same.ok, !same.ok && same.code], [false, FleetRefusalCode.VersionNotRising]);
});

test('a target that is gone stays gone, whatever arrives late', () => {
	const state = new FleetState();
	change(state, 'a', TargetPhase.Serving);
	change(state, 'a', TargetPhase.Leaving);
	change(state, 'a', TargetPhase.Serving);
	assert.equal(state.target('a')?.phase, TargetPhase.Leaving);
	change(state, 'a', TargetPhase.Gone);
	change(state, 'a', TargetPhase.Serving);
	assert.equal(state.target('a')?.phase, TargetPhase.Gone);
});

test('changes after a revision are just the newer ones, and a saved state is restored whole', () => {
	const state = new FleetState();
	publish(state, 1, 0);
	change(state, 'a', TargetPhase.Serving);
	const revision = state.revision;
	state.apply({ type: 'setHall', hall: 'h', isDrained: true });
	const changes = state.changesAfter(revision);
	assert.deepEqual([changes.targets.length, changes.published, changes.halls.length], [0, undefined, 1]);
	const restored = new FleetState();
	restored.restore(structuredClone(state.save()));
	assert.deepEqual(restored.changesAfter(0), state.changesAfter(0));
	assert.equal(publish(restored, 1, 0).ok, true);
});

function begin(state: FleetState, bornAt: number, phase = TargetPhase.Serving, address = '127.0.0.1:1') {
	const description = { id: 'a', bornAt, service: 's', address, hall: 'h', version: 'v', slots: 1 };
	return state.apply({
		type: 'changeTargets',
		changes: [{ id: 'a', bornAt, phase, description, pacedSenders: [`e-${bornAt}`] }]
	});
}

test('a later life of a target replaces the earlier one in one step, and nothing of the earlier one comes back', () => {
	const state = new FleetState();
	begin(state, 100);
	state.apply({ type: 'changeTargets', changes: [{ id: 'a', phase: TargetPhase.Gone }] });
	begin(state, 200, TargetPhase.Serving, '127.0.0.1:2');
	const { phase, bornAt, pacedSenders } = state.target('a')!;
	assert.deepEqual([phase, bornAt, pacedSenders], [TargetPhase.Serving, 200, ['e-200']]);
	assert.deepEqual([state.holderOf('127.0.0.1:1'), state.holderOf('127.0.0.1:2')], [undefined, 'a']);
	const { revision } = state;
	begin(state, 100, TargetPhase.Leaving);
	state.apply({ type: 'changeTargets', changes: [{ id: 'a', bornAt: 100, phase: TargetPhase.Gone }] });
	assert.deepEqual([state.target('a')?.phase, state.revision], [TargetPhase.Serving, revision]);
	const restored = new FleetState();
	restored.restore(JSON.parse(JSON.stringify(state.save())));
	assert.deepEqual([restored.target('a'), restored.holderOf('127.0.0.1:2')], [state.target('a'), 'a']);
});
