/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The fleet's replicated state: one table per base version, idempotent retries, and no return to an earlier target phase. */

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

function changePhase(state: FleetState, id: string, phase: TargetPhase) {
	const description = { id, service: 's', address: '127.0.0.1:1', hall: 'h', version: 'v', slots: 1 };
	return state.apply({ type: 'changeTargets', changes: [{ id, phase, description }] });
}

test('of two tables with the same base version, the first is accepted and the second rejected', () => {
	const state = new FleetState();
	assert.equal(publish(state, 3, 0).ok, true);
	const second = publish(state, 4, 0, 'other');
	assert.deepEqual([second.ok, !second.ok && second.code], [false, FleetRefusalCode.BaseMoved]);
	assert.equal(state.published?.document, 'document 3');
});

test('a retried publication is acknowledged, also after a later one; different content of the same version is rejected', () => {
	const state = new FleetState();
	publish(state, 3, 0);
	publish(state, 5, 3);
	assert.equal(publish(state, 3, 0).ok, true);
	assert.equal(publish(state, 3, 0, 'other').ok, false);
	assert.equal(state.published?.table.version, 5);
	const same = publish(state, 5, 5, 'other');
	assert.deepEqual([same.ok, !same.ok && same.code], [false, FleetRefusalCode.VersionNotRising]);
});

test('late changes do not return a target to an earlier phase', () => {
	const state = new FleetState();
	changePhase(state, 'a', TargetPhase.Serving);
	changePhase(state, 'a', TargetPhase.Leaving);
	changePhase(state, 'a', TargetPhase.Serving);
	assert.equal(state.target('a')?.phase, TargetPhase.Leaving);
	changePhase(state, 'a', TargetPhase.Gone);
	changePhase(state, 'a', TargetPhase.Serving);
	assert.equal(state.target('a')?.phase, TargetPhase.Gone);
});

test('changes after a revision contain only newer records, and a saved state is restored completely', () => {
	const state = new FleetState();
	publish(state, 1, 0);
	changePhase(state, 'a', TargetPhase.Serving);
	const revision = state.revision;
	state.apply({ type: 'setHall', hall: 'h', isDrained: true });
	const changes = state.changesAfter(revision);
	assert.deepEqual([changes.targets.length, changes.published, changes.halls.length], [0, undefined, 1]);
	const restored = new FleetState();
	restored.restore(structuredClone(state.save()));
	assert.deepEqual(restored.changesAfter(0), state.changesAfter(0));
	assert.equal(publish(restored, 1, 0).ok, true);
});

/** Guards against a late order that undoes a later one, also one that found the hall as it wanted it. */
test('an order for a data hall has no effect after another one', () => {
	const state = new FleetState();
	const setHall = (isDrained: boolean, base: number) =>
		state.apply({ type: 'setHall', hall: 'h', isDrained, base }) as { ok: boolean; changedAt?: number };
	assert.equal(setHall(true, 0).ok, true);
	const late = state.hallRevision('h');
	assert.deepEqual(setHall(true, late), { ok: true, revision: late }, 'in force before, so its caller need not wait');
	assert.deepEqual([setHall(false, late).ok, setHall(false, late).changedAt], [false, state.hallRevision('h')]);
	assert.equal(state.isDrained('h'), true);
	assert.equal(setHall(false, state.hallRevision('h')).ok, true);
	const restored = new FleetState();
	restored.restore(structuredClone(state.save()));
	assert.deepEqual([restored.isDrained('h'), restored.hallRevision('h')], [false, state.hallRevision('h')]);
});

function startIncarnation(state: FleetState, bornAt: number, phase = TargetPhase.Serving, address = '127.0.0.1:1') {
	const description = { id: 'a', bornAt, service: 's', address, hall: 'h', version: 'v', slots: 1 };
	return state.apply({
		type: 'changeTargets',
		changes: [{ id: 'a', bornAt, phase, description, pacedSenders: [`e-${bornAt}`] }]
	});
}

test('a later incarnation of a target replaces the earlier one, and late changes of the earlier one are ignored', () => {
	const state = new FleetState();
	startIncarnation(state, 100);
	state.apply({ type: 'changeTargets', changes: [{ id: 'a', phase: TargetPhase.Gone }] });
	startIncarnation(state, 200, TargetPhase.Serving, '127.0.0.1:2');
	const { phase, bornAt, pacedSenders } = state.target('a')!;
	assert.deepEqual([phase, bornAt, pacedSenders], [TargetPhase.Serving, 200, ['e-200']]);
	assert.deepEqual([state.targetIdAt('127.0.0.1:1'), state.targetIdAt('127.0.0.1:2')], [undefined, 'a']);
	const { revision } = state;
	startIncarnation(state, 100, TargetPhase.Leaving);
	state.apply({ type: 'changeTargets', changes: [{ id: 'a', bornAt: 100, phase: TargetPhase.Gone }] });
	assert.deepEqual([state.target('a')?.phase, state.revision], [TargetPhase.Serving, revision]);
	const restored = new FleetState();
	restored.restore(JSON.parse(JSON.stringify(state.save())));
	assert.deepEqual([restored.target('a'), restored.targetIdAt('127.0.0.1:2')], [state.target('a'), 'a']);
});

/** Guards against a removal that reaches the leader after the target has started again under its id. */
test('a removal does not affect an incarnation that is registered after it was submitted', () => {
	const state = new FleetState();
	startIncarnation(state, 100);
	const base = state.target('a')!.changedAt;
	const remove = (removalBase: number) =>
		state.apply({ type: 'changeTargets', changes: [{ id: 'a', phase: TargetPhase.Gone, base: removalBase }] });
	startIncarnation(state, 200);
	assert.equal(remove(base).ok, false);
	assert.equal(state.target('a')?.phase, TargetPhase.Serving);
	assert.equal(remove(state.target('a')!.changedAt).ok, true);
	assert.equal(state.target('a')?.phase, TargetPhase.Gone);
});

/** Guards against a registration that reaches the leader after the target has crashed and another one has taken its address. */
test('a registration does not take an address that another target has registered since', () => {
	const state = new FleetState();
	const register = (id: string, addressOwner: string | null) => {
		const description = { id, bornAt: 0, service: 's', address: '127.0.0.1:1', hall: 'h', version: 'v', slots: 1 };
		const change = { id, phase: TargetPhase.Serving, description, pacedSenders: [], base: 0, addressOwner };
		return state.apply({ type: 'changeTargets', changes: [change] });
	};
	assert.equal(register('second', null).ok, true);
	assert.equal(register('first', null).ok, false);
	assert.deepEqual([state.targetIdAt('127.0.0.1:1'), state.target('first')], ['second', undefined]);
	assert.equal(register('third', 'second').ok, true);
	assert.equal(state.targetIdAt('127.0.0.1:1'), 'third');
});

/** Guards against an earlier limit of a target, or earlier senders, that return when the report of them arrives late. */
test('a limit that is reported against an outdated record has no effect', () => {
	const state = new FleetState();
	startIncarnation(state, 100);
	const limit = (limitPerSecond: number, base: number) =>
		state.apply({ type: 'paceTargets', changes: [{ id: 'a', bornAt: 100, limitPerSecond, base }] });
	const base = state.target('a')!.changedAt;
	limit(20, base);
	limit(50, state.target('a')!.changedAt);
	const { revision } = state;
	limit(20, base);
	assert.deepEqual([state.target('a')?.limitPerSecond, state.revision], [50, revision]);
});
