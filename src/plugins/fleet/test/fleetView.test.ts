/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How an entry instance applies responses of control instances, and how control instances track live instances. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { describeEntry } from '../../../../test/fakes/describeEntry.js';
import { FleetView } from '../common/fleetView.js';
import { TargetPhase, type TargetRecord } from '../common/fleetTypes.js';
import type { SyncResponse } from '../common/fleetWire.js';
import { type LivenessTimeouts, LivenessTracker } from '../common/livenessTracker.js';

const COLD_START_MS = 3000;

function target(id: string, phase = TargetPhase.Serving): TargetRecord {
	return {
		id,
		bornAt: 0,
		service: 's',
		address: '127.0.0.1:1',
		hall: 'h',
		version: 'v',
		slots: 2,
		phase,
		changedAt: 1,
		pacedSenders: []
	};
}

function response(
	revision: number,
	change: Partial<SyncResponse['changes']> = {},
	cold: SyncResponse['coldTargets'] = []
) {
	const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
	const service = { name: 's', healthPath: '/', maxConnections: 1, coldStartMs: COLD_START_MS, coldPerSecond: 1 };
	const published = { table: { version: 1, routes: [], services: [service], teams: undefined, limits }, changedAt: 1 };
	return {
		changes: { revision, isWhole: false, published, halls: [], targets: [], ...change },
		controls: [],
		contactAgeMs: 0,
		hasHeardAll: true,
		entryCount: 3,
		regionEntries: [],
		hallPeers: [],
		limitSenders: [],
		silentTargets: [],
		coldTargets: cold,
		crowdedTargets: [],
		demand: {}
	};
}

test('a response with an older revision changes no targets; a leaving target gets no more requests', () => {
	const view = new FleetView(() => 'r');
	view.apply(response(5, { targets: [target('a')] }), 0);
	view.apply(response(4, { targets: [target('a', TargetPhase.Gone)] }), 0);
	assert.equal(view.targetsOf('s').length, 1);
	view.apply(response(6, { targets: [target('a', TargetPhase.Leaving)] }), 0);
	assert.equal(view.targetsOf('s').length, 0);
});

test('targets that are added later, or whose hall returns to service, are cold', () => {
	const view = new FleetView(() => 'r');
	view.apply(response(1, { targets: [target('a')] }), 100);
	assert.equal(view.target('a')?.coldUntil, 0);
	view.apply(response(2, { targets: [target('b')] }), 200);
	assert.equal(view.target('b')?.coldUntil, 200 + COLD_START_MS);
	view.apply(response(3, { halls: [{ hall: 'h', isDrained: true, changedAt: 3 }] }), 300);
	assert.equal(view.isDrained('h'), true);
	view.apply(response(4, { halls: [{ hall: 'h', isDrained: false, changedAt: 4 }] }), 9000);
	assert.equal(view.target('a')?.coldUntil, 9000 + COLD_START_MS);
});

test('a response with the whole state does not make known targets cold', () => {
	const view = new FleetView(() => 'r');
	view.apply(response(1, { targets: [target('a')] }), 100);
	view.apply(response(2, { isWhole: true, targets: [target('a'), target('b')] }), 9000);
	assert.equal(view.target('a')?.coldUntil, 0);
	assert.equal(view.target('b')?.coldUntil, 9000 + COLD_START_MS);
});

test('an outdated heartbeat is ignored; merged observations keep their age', () => {
	const timeouts: LivenessTimeouts = { entryTimeoutMs: 1000, heartbeatTimeoutMs: 1000 };
	const first = new LivenessTracker(timeouts, 0);
	assert.equal(first.recordHeartbeat({ id: 'a', bornAt: 0, sequence: 7, coldLeftMs: 0 }, 100), true);
	assert.equal(first.recordHeartbeat({ id: 'a', bornAt: 0, sequence: 6, coldLeftMs: 0 }, 5000), false);
	assert.equal(first.isSilent('a', 1200), true);
	const second = new LivenessTracker(timeouts, 0);
	second.recordHeartbeat({ id: 'a', bornAt: 0, sequence: 8, coldLeftMs: 2000 }, 1500);
	first.merge(second.takeUnsent(1700), 1700);
	assert.equal(first.isSilent('a', 2400), false);
	assert.deepEqual(first.coldTargets(3000), [{ id: 'a', leftMs: 500 }]);
	assert.equal(second.takeUnsent(1800).heartbeats.length, 0);
});

test('an entry instance that stops reporting is no longer live', () => {
	const liveness = new LivenessTracker({ entryTimeoutMs: 1000, heartbeatTimeoutMs: 1000 }, 0);
	const entry = describeEntry();
	liveness.recordEntry(entry, 100);
	assert.equal(liveness.liveEntries(1000).length, 1);
	assert.equal(liveness.liveEntries(1200).length, 0);
});

/** Guards against shares of a common limit that grow for an instance that restarts while others are cut off. */
test('entry instances that are lost still count for the shares of the others', () => {
	const liveness = new LivenessTracker({ entryTimeoutMs: 1000, heartbeatTimeoutMs: 1000 }, 0);
	['a', 'b', 'c'].forEach(name => liveness.recordEntry(describeEntry({ name }), 100));
	assert.equal(liveness.peakReadyEntries(200), 3);
	liveness.recordEntry(describeEntry({ name: 'a', incarnation: 'restarted' }), 60000);
	assert.equal(liveness.liveEntries(60000).length, 1);
	assert.equal(liveness.peakReadyEntries(60000), 3);
});

test('an outdated report of an entry instance is ignored', () => {
	const entry = describeEntry({ sequence: 2, isReady: false });
	const liveness = new LivenessTracker({ entryTimeoutMs: 1000, heartbeatTimeoutMs: 1000 }, 0);
	liveness.recordEntry(entry, 100);
	liveness.recordEntry({ ...entry, sequence: 1, isReady: true }, 200);
	assert.equal(liveness.liveEntries(300)[0]?.isReady, false);
	liveness.recordEntry({ ...entry, incarnation: 'restarted', sequence: 1, isReady: true }, 400);
	assert.equal(liveness.liveEntries(500)[0]?.isReady, true);
});

test('a revision is in force once all live entry instances have applied it', () => {
	const entry = describeEntry();
	const first = new LivenessTracker({ entryTimeoutMs: 1000, heartbeatTimeoutMs: 1000 }, 0);
	first.recordEntry(entry, 100);
	assert.equal(first.isAppliedByLiveEntries(4, 200), true);
	assert.equal(first.isAppliedByLiveEntries(5, 200), false);
	const second = new LivenessTracker({ entryTimeoutMs: 1000, heartbeatTimeoutMs: 1000 }, 0);
	second.recordEntry({ ...entry, sequence: 2, revision: 5 }, 300);
	first.merge(second.takeUnsent(400), 400);
	assert.equal(first.isAppliedByLiveEntries(5, 500), true);
	first.recordEntry({ ...entry, name: 'cut off', revision: 1 }, 500);
	assert.equal(first.isAppliedByLiveEntries(5, 600), false);
	assert.equal(first.isAppliedByLiveEntries(5, 1600), true);
});

test('reports of silent targets are ignored in a region whose targets answer this instance', () => {
	const view = new FleetView(() => 'r');
	const answered = new Map<string, number>([['a', 9000]]);
	const unreachable = new Map<string, number>();
	view.setReachability({ answeredAt: id => answered.get(id), unreachableAt: id => unreachable.get(id) });
	const silent = { ...response(1, { targets: [target('a'), target('b')] }), silentTargets: ['a', 'b'] };
	view.apply(silent, 10000);
	assert.deepEqual(
		view.targetsOf('s').map(known => known.isSilent),
		[false, false]
	);
	unreachable.set('b', 9500);
	view.apply(silent, 10500);
	assert.deepEqual(
		view.targetsOf('s').map(known => known.isSilent),
		[true, true],
		'as many failed connections as answers do not contradict the report'
	);
	unreachable.clear();
	view.apply(silent, 12000);
	assert.equal(view.target('a')?.isSilent, true, 'an old answer does not contradict the report');
});

test('a target that ended while others of its region were heard stays silent when those answer although they are reported silent', () => {
	const view = new FleetView(() => 'r');
	const answered = new Map<string, number>();
	view.setReachability({ answeredAt: id => answered.get(id), unreachableAt: () => undefined });
	const targets = [target('ended'), target('answering'), target('quiet')];
	const isSilent = (): boolean[] => view.targetsOf('s').map(known => known.isSilent);
	view.apply({ ...response(1, { targets }), silentTargets: ['ended'] }, 1000);
	view.apply({ ...response(2, { targets }), silentTargets: ['ended'] }, 4000);
	answered.set('answering', 9000);
	const silent = { ...response(3, { targets }), silentTargets: ['ended', 'answering', 'quiet'] };
	view.apply(silent, 10000);
	assert.deepEqual(isSilent(), [true, false, false]);
	answered.set('ended', 10200);
	view.apply(silent, 10500);
	assert.deepEqual(isSilent(), [false, false, false], 'it has answered itself');
});

test('all targets of a region that control does not hear are used again once some of them answer', () => {
	const view = new FleetView(() => 'r');
	const answered = new Map<string, number>();
	view.setReachability({ answeredAt: id => answered.get(id), unreachableAt: () => undefined });
	const targets = [target('a'), target('b')];
	const silent = { ...response(1, { targets }), silentTargets: ['a', 'b'] };
	view.apply(silent, 1000);
	view.apply(silent, 9000);
	assert.equal(view.target('b')?.isSilent, true, 'nothing contradicts the report while there are no requests');
	answered.set('a', 9900);
	view.apply(silent, 10000);
	assert.equal(view.target('b')?.isSilent, false);
});

test('incomplete observations do not change known silent targets, demand and entry count', () => {
	const view = new FleetView(() => 'r');
	view.apply({ ...response(1), hasHeardAll: false, entryCount: 2 }, 500);
	assert.equal(view.entryCount, Number.POSITIVE_INFINITY, 'shares are not computed from an incomplete count');
	const known = { ...response(2, { targets: [target('a')] }), demand: { s: { r: 5 } }, entryCount: 30 };
	view.apply(known, 1000);
	const partial = { ...known, hasHeardAll: false, silentTargets: ['a'], demand: {}, entryCount: 2 };
	view.apply(partial, 2000);
	assert.equal(view.target('a')?.isSilent, false);
	assert.equal(view.demandOf('s', 'r'), 5);
	assert.equal(view.entryCount, 30);
});

test('after an interruption, a control instance reports no target silent until heartbeats could have arrived again', () => {
	const liveness = new LivenessTracker({ entryTimeoutMs: 1000, heartbeatTimeoutMs: 4500 }, 0);
	liveness.recordHeartbeat({ id: 'a', bornAt: 0, sequence: 1, coldLeftMs: 0 }, 1000);
	assert.equal(liveness.isSilent('a', 6000, 0), true);
	assert.equal(liveness.isSilent('a', 6000, 5000), false);
	assert.equal(liveness.isSilent('a', 7500, 5000), true);
});

test('a repeated response keeps later reports of silent targets effective for the targets of a service', () => {
	const view = new FleetView(() => 'r');
	const changes = { targets: [target('a')] };
	view.apply(response(1, changes), 1000);
	view.apply(response(1, changes), 1100);
	view.apply({ ...response(1), silentTargets: ['a'] }, 2000);
	assert.equal(view.targetsOf('s')[0]?.isSilent, true);
});

test('unchanged reports of an entry instance are relayed at intervals, changes at once', () => {
	const liveness = new LivenessTracker({ entryTimeoutMs: 2500, heartbeatTimeoutMs: 4500 }, 0);
	const relayedCount = (now: number, revision: number): number => {
		liveness.recordEntry(describeEntry({ sequence: now, revision }), now);
		return liveness.takeUnsent(now).entries.length;
	};
	assert.deepEqual(
		[0, 250, 500, 750, 1000].map(now => relayedCount(now, 1)),
		[1, 0, 0, 1, 0]
	);
	assert.equal(relayedCount(1250, 2), 1);
});

test('heartbeats of a restarted target are accepted from sequence 1, and late ones of the earlier incarnation are ignored', () => {
	const first = new LivenessTracker({ entryTimeoutMs: 1000, heartbeatTimeoutMs: 1000 }, 0);
	const heartbeat = (bornAt: number, sequence: number, coldLeftMs = 0) => ({ id: 'a', bornAt, sequence, coldLeftMs });
	assert.equal(first.recordHeartbeat(heartbeat(100, 5000), 1000), true);
	assert.equal(first.recordHeartbeat(heartbeat(200, 1, 4000), 3000), true);
	assert.equal(first.recordHeartbeat(heartbeat(100, 5001), 3500), false);
	assert.deepEqual(first.coldTargets(4000), [{ id: 'a', leftMs: 3000 }]);
	const second = new LivenessTracker({ entryTimeoutMs: 1000, heartbeatTimeoutMs: 1000 }, 0);
	second.recordHeartbeat(heartbeat(100, 6000), 1000);
	second.merge(first.takeUnsent(4000), 4000);
	second.merge({ entries: [], heartbeats: [{ ...heartbeat(100, 6001), ageMs: 0 }] }, 4500);
	assert.deepEqual(second.coldTargets(4500), [{ id: 'a', leftMs: 2500 }]);
});

test('a later incarnation of a target is cold and new, and the restart event fires once', () => {
	const view = new FleetView(() => 'r');
	const restarted: number[] = [];
	view.onDidRestartTarget(({ bornAt }) => restarted.push(bornAt));
	const first = { ...target('a'), bornAt: 100 };
	const second = { ...target('a'), bornAt: 200, changedAt: 3 };
	view.apply(response(2, { targets: [first] }), 1000);
	const leaving = { ...first, phase: TargetPhase.Leaving };
	view.apply(response(3, { targets: [leaving] }), 2000);
	view.apply(response(4, { targets: [second] }), 9000);
	assert.deepEqual(
		[restarted, view.target('a')?.coldUntil, view.target('a')?.knownSince],
		[[100], 9000 + COLD_START_MS, 9000]
	);
	assert.deepEqual(
		view.targetsOf('s').map(({ record }) => record.bornAt),
		[200]
	);
});

/**
 * If the count of entry instances were unknown until the first complete response, an instance would open a single connection to
 * each target, and callers would get 503 right after a start although targets had free slots.
 */
test('the peak entry count is set by the first response, complete or not, and never decreases', () => {
	const view = new FleetView(() => 'r');
	view.apply({ ...response(5), hasHeardAll: false, entryCount: 2 }, 0);
	assert.equal(view.peakEntryCount, 2);
	view.apply({ ...response(5), entryCount: 9 }, 0);
	view.apply({ ...response(5), entryCount: 4 }, 0);
	assert.equal(view.peakEntryCount, 9);
	assert.equal(view.entryCount, 9, 'retries are divided by the highest count as well');
});

test('an incarnation has stopped once it is gone, silent or started anew, or another target took its address', () => {
	const view = new FleetView(() => 'r');
	const at = (id: string, address: string, bornAt = 0): TargetRecord => ({ ...target(id), address, bornAt });
	const records = ['a', 'b', 'c', 'd', 'e'].map(id => at(id, `${id}:1`));
	view.apply(response(1, { targets: records }), 100);
	assert.deepEqual(
		records.filter(record => view.hasStopped(record, 150)),
		[]
	);
	const successors = [{ ...target('a', TargetPhase.Gone), address: 'a:1' }, at('b', 'b:1', 7), at('f', 'c:1')];
	view.apply({ ...response(2, { targets: successors }), silentTargets: ['d'] }, 200);
	assert.deepEqual(
		records.filter(record => view.hasStopped(record, 150)).map(({ id }) => id),
		['a', 'b', 'c', 'd']
	);
});
