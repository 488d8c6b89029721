/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What all instances together send to a cold target, whatever each of them knows of the others. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { describeEntry } from '../../../../test/fakes/describeEntry.js';
import { TargetLimitTable } from '../../limits/common/targetLimitTable.js';
import { PaceShare } from '../../fleet/common/paceShare.js';
import { drawPacedSenders } from '../../fleet/common/pacedSenders.js';
import { FleetView } from '../../fleet/common/fleetView.js';
import { TargetPhase, type TargetRecord } from '../../fleet/common/fleetTypes.js';
import type { SyncResponse } from '../../fleet/common/fleetWire.js';
import { RepeatRule, type Route } from '../../routes/common/routeTable.js';
import { TargetSelector } from '../node/placement/targetSelector.js';
import type { Journey } from '../node/journey.js';

const COLD_START_MS = 3000;
const COLD_PER_SECOND = 3;
/** What a cold target bears in any second: half as much again as its pace, and a few that come together. */
const MOST_IN_A_SECOND = 1.5 * COLD_PER_SECOND + 5;
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
		{ mostMoved: 0.15, windowMs: 2000 },
		share,
		new TargetLimitTable(view, share)
	);
}

function journeyFor(object: number): Journey {
	const exchange = { objectKey: `o${object}`, requestId: `request-${object}` };
	return {
		route: ROUTE,
		homeRegions: [],
		service: 's',
		exchange,
		tried: new Set(),
		attempts: []
	} as unknown as Journey;
}

/** Requests that all selectors together send in one second, each trying every 50 ms. */
function countInSecond(selectors: readonly TargetSelector[]): number {
	let sent = 0;
	for (let now = 1000; now < 2000; now += 50) {
		selectors.forEach((selector, i) => (sent += selector.choose(journeyFor(i + now), now) ? 1 : 0));
	}
	return sent;
}

test('many instances of a region together keep to the pace of a cold target', () => {
	const senders = drawPacedSenders(
		'new',
		'r',
		ENTRIES.map(name => describeEntry({ name, region: 'r', isReady: true }))
	);
	const record = target('new', senders);
	const sent = countInSecond(ENTRIES.map(name => selectorOf(name, ENTRIES, record)));
	assert.ok(sent > 0 && sent <= MOST_IN_A_SECOND, `${sent} requests`);
});

test('instances that hear only of themselves keep to it too', () => {
	const record = target('new', ['e3', 'e7']);
	const sent = countInSecond(ENTRIES.map(name => selectorOf(name, [name], record)));
	assert.ok(sent > 0 && sent <= MOST_IN_A_SECOND, `${sent} requests`);
});

test('a target without senders gets nothing until it is warm', () => {
	const selectors = ENTRIES.map(name => selectorOf(name, ENTRIES, target('new', [])));
	assert.equal(countInSecond(selectors), 0);
	assert.ok(selectors[0]!.choose(journeyFor(0), 1000 + COLD_START_MS));
});

test('the senders of a target are ready instances of its region, and the same for whoever draws them', () => {
	const entries = [
		describeEntry({ name: 'a', region: 'r1', isReady: true }),
		describeEntry({ name: 'b', region: 'r1', isReady: false }),
		describeEntry({ name: 'c', region: 'r2', isReady: true })
	];
	assert.deepEqual(drawPacedSenders('t', 'r1', entries), ['a']);
	assert.deepEqual(drawPacedSenders('t', 'r3', entries), []);
	const many = ENTRIES.map(name => describeEntry({ name, region: 'r1', isReady: true }));
	assert.deepEqual(drawPacedSenders('t', 'r1', many), drawPacedSenders('t', 'r1', [...many].reverse()));
});
