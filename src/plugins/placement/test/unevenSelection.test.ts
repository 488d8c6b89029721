/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Target selection where targets report how long work takes: restarts, renamed services, and work in vain. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetView } from '../../fleet/common/fleetView.js';
import { TargetPhase, type TargetRecord } from '../../fleet/common/fleetTypes.js';
import type { SyncResponse } from '../../fleet/common/fleetWire.js';
import { PaceShare } from '../../fleet/common/paceShare.js';
import { TargetLimitTable } from '../../limits/common/targetLimitTable.js';
import { RepeatRule, type Route } from '../../routes/common/routeTable.js';
import type { PlacementRequest } from '../common/placementRequest.js';
import { TargetSelector } from '../common/targetSelector.js';

const SLOTS = 6;

function createRecord(id: string, service: string, bornAt: number, changedAt: number): TargetRecord {
	return {
		id,
		bornAt,
		service,
		address: '127.0.0.1:1',
		hall: 'r',
		version: 'v',
		slots: SLOTS,
		phase: TargetPhase.Serving,
		changedAt,
		pacedSenders: []
	};
}

function createSyncResponse(revision: number, targets: readonly TargetRecord[]): SyncResponse {
	const services = [...new Set(targets.map(target => target.service))].map(name => ({
		name,
		healthPath: '/',
		maxConnections: 100,
		coldStartMs: 0,
		coldPerSecond: 5
	}));
	const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
	const table = { version: revision, routes: [], services, teams: undefined, limits };
	return {
		changes: { revision, isWhole: true, published: { table, changedAt: revision }, halls: [], targets },
		controls: [],
		contactAgeMs: 0,
		hasHeardAll: true,
		entryCount: 1,
		regionEntries: ['entry'],
		hallPeers: [],
		limitSenders: [],
		silentTargets: [],
		coldTargets: [],
		crowdedTargets: [],
		demand: {}
	};
}

function createSelector(view: FleetView, isRanked = false): TargetSelector {
	const share = new PaceShare('entry', () => 0);
	const place = { region: 'r', hall: 'r', name: 'entry' };
	const shifts = { maxMovedFraction: 0.15, windowMs: 2000 };
	const workTimes = { hitMs: 200, missMs: 660, slowHitMs: 500 };
	return new TargetSelector(view, place, ['r'], shifts, share, new TargetLimitTable(view, share), {
		workProfile: { timesOf: () => workTimes },
		isRanked
	});
}

function createRequest(service: string, arrivedAt: number, changes: Partial<PlacementRequest> = {}): PlacementRequest {
	const route = {
		name: 'route',
		pathPrefix: '/',
		repeatRule: RepeatRule.AtMostOnce,
		timeoutMs: 2000,
		objectiveMs: 500,
		parts: [{ service, weight: 1 }],
		isSticky: true,
		homeRegions: []
	} as unknown as Route;
	const exchange = { requestId: 'request', objectKey: 'object', arrivedAt, isDisconnected: false };
	return { exchange, route, service, homeRegions: [], tried: new Set(), attempts: [], permitsDenied: 0, ...changes };
}

test('a target that restarts several times in a second counts as of the speed of its service each time', () => {
	const view = new FleetView(hall => hall);
	const selector = createSelector(view);
	for (let run = 1; run <= 5; run++) {
		const now = 1000 + run * 150;
		view.apply(createSyncResponse(run, [createRecord('t', 'a', run, run)]), now);
		const { state } = selector.choose(createRequest('a', now), now)!;
		assert.equal(state.speed.factor(now), state.speed.service.meanFactor());
		state.applyLoadReport({ running: 1, waiting: 0, slots: SLOTS, workTimeFactor: 2 }, now);
	}
});

test('a target whose service is renamed keeps its own speed and is compared with its new service', () => {
	const view = new FleetView(hall => hall);
	const selector = createSelector(view);
	view.apply(createSyncResponse(1, [createRecord('t', 'a', 1, 1)]), 1000);
	const before = selector.choose(createRequest('a', 1000), 1000)!;
	before.state.applyLoadReport({ running: 1, waiting: 0, slots: SLOTS, workTimeFactor: 2 }, 1000);
	view.apply(createSyncResponse(2, [createRecord('t', 'b', 1, 2)]), 1100);
	const after = selector.choose(createRequest('b', 1100), 1100)!;
	assert.equal(after.state, before.state);
	assert.equal(after.estimate, undefined, 'no target of the new service has reported a work time');
	after.state.applyLoadReport({ running: 1, waiting: 0, slots: SLOTS, workTimeFactor: 2 }, 1200);
	assert.equal(selector.choose(createRequest('b', 1200), 1200)?.estimate?.workTimeFactor, 2);
	assert.deepEqual([...selector.factorsByService(1200).keys()].sort(), ['a', 'b']);
	selector.choose(createRequest('b', 20000), 20000);
	assert.deepEqual([...selector.factorsByService(20000).keys()], ['b']);
});

for (const { name, isRanked, workTimeFactor } of [
	{ name: 'where targets report work times', isRanked: false, workTimeFactor: 1 },
	{ name: 'where ranks decide', isRanked: true, workTimeFactor: undefined }
]) {
	test(`a request that the queue of its target would carry beyond its deadline is not sent there, ${name}`, () => {
		const view = new FleetView(hall => hall);
		const selector = createSelector(view, isRanked);
		view.apply(createSyncResponse(1, [createRecord('t', 'a', 1, 1)]), 1000);
		const { state } = selector.choose(createRequest('a', 1000), 1000)!;
		state.applyLoadReport({ running: SLOTS, waiting: 6, slots: SLOTS, workTimeFactor }, 1000);
		const choose = (deadline: number | undefined): string | undefined =>
			selector.choose(createRequest('a', 1000, { deadline }), 1000)?.known.record.id;
		assert.equal(choose(1400), undefined);
		assert.equal(choose(1500), 't');
		assert.equal(choose(undefined), 't');
	});
}

test('a request is sent whatever its deadline if too little is known of the load, or work in vain is not looked for', () => {
	const view = new FleetView(hall => hall);
	view.apply(createSyncResponse(1, [createRecord('t', 'a', 1, 1)]), 1000);
	const ranked = createSelector(view, true);
	assert.equal(ranked.choose(createRequest('a', 1000, { deadline: 1001 }), 1000)?.known.record.id, 't');
	const other = createSelector(view);
	const { state } = other.choose(createRequest('a', 1000), 1000)!;
	state.applyLoadReport({ running: SLOTS, waiting: 6, slots: SLOTS, workTimeFactor: undefined }, 1000);
	assert.equal(other.choose(createRequest('a', 1000, { deadline: 1001 }), 1000)?.known.record.id, 't');
});

test('targets of a region that was full a while ago do not count as idle, unless their load is not estimated', () => {
	for (const isRanked of [true, false]) {
		const view = new FleetView(hall => hall);
		const selector = createSelector(view, isRanked);
		view.apply(createSyncResponse(1, [createRecord('t', 'a', 1, 1), createRecord('u', 'a', 1, 1)]), 1000);
		const { state } = selector.choose(createRequest('a', 1000), 1000)!;
		for (let i = 0; i < 5; i++) {
			state.applyLoadReport({ running: SLOTS, waiting: 12, slots: SLOTS, workTimeFactor: undefined }, 1000);
		}
		const tried = new Set([state.id]);
		const other = selector.choose(createRequest('a', 3000, { tried }), 3000);
		assert.equal(other?.known.record.id, isRanked ? undefined : 'u');
		assert.notEqual(selector.choose(createRequest('a', 12000, { tried }), 12000), undefined);
	}
});
