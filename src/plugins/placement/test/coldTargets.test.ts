/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Request rate of all instances together to a cold target, regardless of what each instance knows of the others. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { describeEntry } from '../../../../test/fakes/describeEntry.js';
import { TargetLimitTable } from '../../limits/common/targetLimitTable.js';
import { PaceShare } from '../../fleet/common/paceShare.js';
import { selectPacedSenders } from '../../fleet/common/pacedSenders.js';
import { FleetView } from '../../fleet/common/fleetView.js';
import { TargetPhase, type TargetRecord } from '../../fleet/common/fleetTypes.js';
import type { SyncResponse } from '../../fleet/common/fleetWire.js';
import { RepeatRule, type Route } from '../../routes/common/routeTable.js';
import { TargetSelector } from '../common/targetSelector.js';
import type { PlacementRequest } from '../common/placementRequest.js';

const COLD_START_MS = 3000;
const COLD_PER_SECOND = 3;
/** Tolerated requests in any second: 1.5 times the rate limit, and a few more for bursts. */
const MAX_REQUESTS_PER_SECOND = 1.5 * COLD_PER_SECOND + 5;
const ENTRIES = Array.from({ length: 26 }, (_, i) => `e${i}`);
const ROUTE: Route = {
	name: 'r',
	host: 'h',
	pathPrefix: '/',
	repeatRule: RepeatRule.Repeatable,
	timeoutMs: 1000,
	objectiveMs: 200,
	rank: 1,
	parts: [{ service: 's', weight: 1 }],
	attempts: 2,
	isSticky: true,
	homeRegions: [],
	isPublic: true
};

function target(id: string, pacedSenders: readonly string[]): TargetRecord {
	const place = { address: '127.0.0.1:1', hall: 'h', version: 'v', slots: 9 };
	return { id, bornAt: 0, service: 's', ...place, phase: TargetPhase.Serving, changedAt: 1, pacedSenders };
}

function response(revision: number, targets: TargetRecord[], regionEntries: readonly string[]): SyncResponse {
	const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
	const cold = { coldStartMs: COLD_START_MS, coldPerSecond: COLD_PER_SECOND };
	const service = { name: 's', healthPath: '/', maxConnections: 1, ...cold };
	const published = {
		table: { version: 1, routes: [ROUTE], services: [service], teams: undefined, limits },
		changedAt: 1
	};
	return {
		changes: { revision, isWhole: false, published, halls: [], targets },
		controls: [],
		contactAgeMs: 0,
		hasHeardAll: true,
		entryCount: 26,
		regionEntries,
		hallPeers: [],
		limitSenders: [],
		silentTargets: [],
		coldTargets: [],
		crowdedTargets: [],
		demand: {}
	};
}

function selectorOf(name: string, known: readonly string[], record: TargetRecord): TargetSelector {
	const view = new FleetView(() => 'r1');
	view.apply(response(1, [], known), 100);
	view.apply(response(2, [record], known), 1000);
	const share = new PaceShare(name, () => 0);
	return new TargetSelector(
		view,
		{ name, hall: 'h', region: 'r1' },
		['r1'],
		{ maxMovedFraction: 0.15, windowMs: 2000 },
		share,
		new TargetLimitTable(view, share)
	);
}

function requestFor(object: number): PlacementRequest {
	const exchange = { objectKey: `o${object}`, requestId: `request-${object}` };
	return {
		route: ROUTE,
		homeRegions: [],
		service: 's',
		exchange,
		tried: new Set(),
		attempts: []
	} as unknown as PlacementRequest;
}

/** Returns the number of requests that all selectors together send in one second, each trying every 50 ms. */
function countInSecond(selectors: readonly TargetSelector[]): number {
	let sent = 0;
	for (let now = 1000; now < 2000; now += 50) {
		selectors.forEach((selector, i) => (sent += selector.choose(requestFor(i + now), now) ? 1 : 0));
	}
	return sent;
}

test('many instances of a region together keep to the rate limit of a cold target', () => {
	const senders = selectPacedSenders(
		'new',
		'r',
		ENTRIES.map(name => describeEntry({ name, region: 'r', isReady: true }))
	);
	const record = target('new', senders);
	const sent = countInSecond(ENTRIES.map(name => selectorOf(name, ENTRIES, record)));
	assert.ok(sent > 0 && sent <= MAX_REQUESTS_PER_SECOND, `${sent} requests`);
});

test('instances that know only themselves keep to the rate limit too', () => {
	const record = target('new', ['e3', 'e7']);
	const sent = countInSecond(ENTRIES.map(name => selectorOf(name, [name], record)));
	assert.ok(sent > 0 && sent <= MAX_REQUESTS_PER_SECOND, `${sent} requests`);
});

test('a target without paced senders gets no requests until it is warm', () => {
	const selectors = ENTRIES.map(name => selectorOf(name, ENTRIES, target('new', [])));
	assert.equal(countInSecond(selectors), 0);
	assert.ok(selectors[0]!.choose(requestFor(0), 1000 + COLD_START_MS));
});

test('the paced senders of a target are ready instances of its region, independent of the order of the entries', () => {
	const entries = [
		describeEntry({ name: 'a', region: 'r1', isReady: true }),
		describeEntry({ name: 'b', region: 'r1', isReady: false }),
		describeEntry({ name: 'c', region: 'r2', isReady: true })
	];
	assert.deepEqual(selectPacedSenders('t', 'r1', entries), ['a']);
	assert.deepEqual(selectPacedSenders('t', 'r3', entries), []);
	const many = ENTRIES.map(name => describeEntry({ name, region: 'r1', isReady: true }));
	assert.deepEqual(selectPacedSenders('t', 'r1', many), selectPacedSenders('t', 'r1', [...many].reverse()));
});
