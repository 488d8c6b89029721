/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What an entry instance makes of control's answers, and what control makes of sightings. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { describeEntry } from '../../../../test/fakes/describeEntry.js';
import { FleetView } from '../common/fleetView.js';
import { TargetPhase, type TargetRecord } from '../common/fleetTypes.js';
import type { SyncResponse } from '../common/fleetWire.js';
import { Sightings } from '../common/sightings.js';

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

test('an older answer changes nothing; a target that leaves gets no more work', () => {
	const view = new FleetView(() => 'r');
	view.apply(response(5, { targets: [target('a')] }), 0);
	view.apply(response(4, { targets: [target('a', TargetPhase.Gone)] }), 0);
	assert.equal(view.targetsOf('s').length, 1);
	view.apply(response(6, { targets: [target('a', TargetPhase.Leaving)] }), 0);
	assert.equal(view.targetsOf('s').length, 0);
});

test('a target that comes later is cold, as are those of a hall that is taken back', () => {
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

test('an answer that replaces everything does not make known targets cold', () => {
	const view = new FleetView(() => 'r');
	view.apply(response(1, { targets: [target('a')] }), 100);
	view.apply(response(2, { isWhole: true, targets: [target('a'), target('b')] }), 9000);
	assert.equal(view.target('a')?.coldUntil, 0);
	assert.equal(view.target('b')?.coldUntil, 9000 + COLD_START_MS);
});

test('a late heartbeat does not count; sightings of another instance keep their age', () => {
	const timing = { entrySilentMs: 1000, targetSilentMs: 1000 };
	const here = new Sightings(timing, 0);
	assert.equal(here.seeHeartbeat({ id: 'a', bornAt: 0, sequence: 7, coldLeftMs: 0 }, 100), true);
	assert.equal(here.seeHeartbeat({ id: 'a', bornAt: 0, sequence: 6, coldLeftMs: 0 }, 5000), false);
	assert.equal(here.isSilent('a', 1200), true);
	const other = new Sightings(timing, 0);
	other.seeHeartbeat({ id: 'a', bornAt: 0, sequence: 8, coldLeftMs: 2000 }, 1500);
	here.merge(other.takeFresh(1700), 1700);
	assert.equal(here.isSilent('a', 2400), false);
	assert.deepEqual(here.coldTargets(3000), [{ id: 'a', leftMs: 500 }]);
	assert.equal(other.takeFresh(1800).heartbeats.length, 0);
});

test('an entry instance that falls silent is no longer named', () => {
	const sightings = new Sightings({ entrySilentMs: 1000, targetSilentMs: 1000 }, 0);
	const entry = describeEntry();
	sightings.seeEntry(entry, 100);
	assert.equal(sightings.liveEntries(1000).length, 1);
	assert.equal(sightings.liveEntries(1200).length, 0);
});

test('a word of an entry instance that was overtaken by a later one changes nothing', () => {
	const entry = describeEntry({ sequence: 2, isReady: false });
	const sightings = new Sightings({ entrySilentMs: 1000, targetSilentMs: 1000 }, 0);
	sightings.seeEntry(entry, 100);
	sightings.seeEntry({ ...entry, sequence: 1, isReady: true }, 200);
	assert.equal(sightings.liveEntries(300)[0]?.isReady, false);
	sightings.seeEntry({ ...entry, incarnation: 'restarted', sequence: 1, isReady: true }, 400);
	assert.equal(sightings.liveEntries(500)[0]?.isReady, true);
});

test('a change is in force once all entry instances that are heard act by it', () => {
	const entry = describeEntry();
	const here = new Sightings({ entrySilentMs: 1000, targetSilentMs: 1000 }, 0);
	here.seeEntry(entry, 100);
	assert.equal(here.isInForce(4, 200), true);
	assert.equal(here.isInForce(5, 200), false);
	const other = new Sightings({ entrySilentMs: 1000, targetSilentMs: 1000 }, 0);
	other.seeEntry({ ...entry, sequence: 2, revision: 5 }, 300);
	here.merge(other.takeFresh(400), 400);
	assert.equal(here.isInForce(5, 500), true);
	here.seeEntry({ ...entry, name: 'cut off', revision: 1 }, 500);
	assert.equal(here.isInForce(5, 600), false);
	assert.equal(here.isInForce(5, 1600), true);
});

test('a word that targets are silent does not count in a region whose targets answer here', () => {
	const view = new FleetView(() => 'r');
	const answered = new Map<string, number>([['a', 9000]]);
	const unreachable = new Map<string, number>();
	view.setWitness({ answeredAt: id => answered.get(id), unreachableAt: id => unreachable.get(id) });
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
		'as many failed connections as answers leave the word in force'
	);
	unreachable.clear();
	view.apply(silent, 12000);
	assert.equal(view.target('a')?.isSilent, true, 'an answer of long ago says nothing');
});

test('who has not heard all does not change what is known of silence, needs and instances', () => {
	const view = new FleetView(() => 'r');
	view.apply({ ...response(1), hasHeardAll: false, entryCount: 2 }, 500);
	assert.equal(view.entryCount, Number.POSITIVE_INFINITY, 'parts of a sum are not worked out from a few instances');
	const known = { ...response(2, { targets: [target('a')] }), demand: { s: { r: 5 } }, entryCount: 30 };
	view.apply(known, 1000);
	const partial = { ...known, hasHeardAll: false, silentTargets: ['a'], demand: {}, entryCount: 2 };
	view.apply(partial, 2000);
	assert.equal(view.target('a')?.isSilent, false);
	assert.equal(view.demandOf('s', 'r'), 5);
	assert.equal(view.entryCount, 30);
});

test('a control instance that was deaf for a while calls nobody silent until it could have heard them again', () => {
	const sightings = new Sightings({ entrySilentMs: 1000, targetSilentMs: 4500 }, 0);
	sightings.seeHeartbeat({ id: 'a', bornAt: 0, sequence: 1, coldLeftMs: 0 }, 1000);
	assert.equal(sightings.isSilent('a', 6000, 0), true);
	assert.equal(sightings.isSilent('a', 6000, 5000), false);
	assert.equal(sightings.isSilent('a', 7500, 5000), true);
});

test('changes that come twice leave silence in force for the targets that requests choose from', () => {
	const view = new FleetView(() => 'r');
	const changes = { targets: [target('a')] };
	view.apply(response(1, changes), 1000);
	view.apply(response(1, changes), 1100);
	view.apply({ ...response(1), silentTargets: ['a'] }, 2000);
	assert.equal(view.targetsOf('s')[0]?.isSilent, true);
});

test('an entry instance that says nothing new is passed on now and then, news at once', () => {
	const sightings = new Sightings({ entrySilentMs: 2500, targetSilentMs: 4500 }, 0);
	const passedOn = (now: number, revision: number): number => {
		sightings.seeEntry(describeEntry({ sequence: now, revision }), now);
		return sightings.takeFresh(now).entries.length;
	};
	assert.deepEqual(
		[0, 250, 500, 750, 1000].map(now => passedOn(now, 1)),
		[1, 0, 0, 1, 0]
	);
	assert.equal(passedOn(1250, 2), 1);
});

test('a target that starts again is heard whatever its earlier life had counted, and late words of that life do not count', () => {
	const here = new Sightings({ entrySilentMs: 1000, targetSilentMs: 1000 }, 0);
	const word = (bornAt: number, sequence: number, coldLeftMs = 0) => ({ id: 'a', bornAt, sequence, coldLeftMs });
	assert.equal(here.seeHeartbeat(word(100, 5000), 1000), true);
	assert.equal(here.seeHeartbeat(word(200, 1, 4000), 3000), true);
	assert.equal(here.seeHeartbeat(word(100, 5001), 3500), false);
	assert.deepEqual(here.coldTargets(4000), [{ id: 'a', leftMs: 3000 }]);
	const other = new Sightings({ entrySilentMs: 1000, targetSilentMs: 1000 }, 0);
	other.seeHeartbeat(word(100, 6000), 1000);
	other.merge(here.takeFresh(4000), 4000);
	other.merge({ entries: [], heartbeats: [{ ...word(100, 6001), ageMs: 0 }] }, 4500);
	assert.deepEqual(other.coldTargets(4500), [{ id: 'a', leftMs: 2500 }]);
});

test('a later life of a target is cold and new to an entry instance, which says so once', () => {
	const view = new FleetView(() => 'r');
	const outlived: number[] = [];
	view.onDidOutlive(({ bornAt }) => outlived.push(bornAt));
	const first = { ...target('a'), bornAt: 100 };
	const second = { ...target('a'), bornAt: 200, changedAt: 3 };
	view.apply(response(2, { targets: [first] }), 1000);
	const leaving = { ...first, phase: TargetPhase.Leaving };
	view.apply(response(3, { targets: [leaving] }), 2000);
	view.apply(response(4, { targets: [second] }), 9000);
	assert.deepEqual(
		[outlived, view.target('a')?.coldUntil, view.target('a')?.knownSince],
		[[100], 9000 + COLD_START_MS, 9000]
	);
	assert.deepEqual(
		view.targetsOf('s').map(({ record }) => record.bornAt),
		[200]
	);
});

/**
 * Until a control instance heard all others, an instance took one connection to each target for its part, and callers got 503 right after a start,
 * beside load for seconds: 73 of 182 requests were served where three targets of four had room.
 */
test('the most entry instances known count from the first answer on, whoever gives it, and never become fewer', () => {
	const view = new FleetView(() => 'r');
	view.apply({ ...response(5), hasHeardAll: false, entryCount: 2 }, 0);
	assert.equal(view.mostEntries, 2);
	view.apply({ ...response(5), entryCount: 9 }, 0);
	view.apply({ ...response(5), entryCount: 4 }, 0);
	assert.equal(view.mostEntries, 9);
});
