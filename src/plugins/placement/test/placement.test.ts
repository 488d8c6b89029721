/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Placement: first requests to new targets, hall preference for large responses, and region shares. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type KnownTarget } from '../../fleet/common/fleetView.js';
import { TargetPhase } from '../../fleet/common/fleetTypes.js';
import { hasProportionateSlots } from '../common/hallPreference.js';
import { findUnusedTarget, firstRequestSender } from '../common/firstRequests.js';
import { planShares } from '../common/regionShares.js';
import { type Candidate, chooseTarget } from '../common/targetChoice.js';
import { RegionLoad } from '../common/regionLoad.js';
import { TargetState } from '../common/targets/targetState.js';

const ENTRIES = ['e1', 'e2', 'e3', 'e4'];

function candidate(id: string, overrides: Partial<KnownTarget> = {}, hall = 'h1'): Candidate {
	const record = {
		id,
		bornAt: 0,
		service: 's',
		address: '127.0.0.1:1',
		hall,
		version: 'v',
		slots: 4,
		phase: TargetPhase.Serving,
		changedAt: 1,
		pacedSenders: []
	};
	const known = { record, region: 'r1', isSilent: false, coldUntil: 0, keptPart: 1, knownSince: 0, ...overrides };
	return { known, state: new TargetState(id, 0, 4, new RegionLoad()) };
}

test('a new target gets its first request from one instance of its region, once', () => {
	const newTarget = candidate('new', { knownSince: 900 });
	const all = [candidate('old'), newTarget];
	const servingInstance = (name: string, region = 'r1') => ({
		name,
		region,
		regionEntries: ENTRIES,
		servingSince: 800
	});
	const found = ENTRIES.filter(name => findUnusedTarget(all, servingInstance(name), () => true) === newTarget);
	assert.deepEqual(found, [firstRequestSender(newTarget.known.record, ENTRIES)]);
	assert.equal(
		findUnusedTarget(all, servingInstance(found[0]!, 'r2'), () => true),
		undefined
	);
	assert.equal(
		findUnusedTarget(all, servingInstance(found[0]!), () => false),
		undefined
	);
	newTarget.state.isUsed = true;
	assert.equal(
		findUnusedTarget(all, servingInstance(found[0]!), () => true),
		undefined
	);
});

test('a hall with roughly the mean number of slots serves its own large responses', () => {
	assert.equal(
		hasProportionateSlots(
			'a',
			new Map([
				['a', 9],
				['b', 10]
			])
		),
		true
	);
	assert.equal(
		hasProportionateSlots(
			'a',
			new Map([
				['a', 3],
				['b', 10]
			])
		),
		false
	);
	assert.equal(hasProportionateSlots('a', new Map()), true);
});

test('targets of the preferred hall are used first, and others of the region when those are full', () => {
	const near = Array.from({ length: 3 }, (_, i) => candidate(`near-${i}`, {}, 'h1'));
	const far = Array.from({ length: 9 }, (_, i) => candidate(`far-${i}`, {}, 'h2'));
	const choose = (): string | undefined =>
		chooseTarget([...near, ...far], {
			objectKey: 'o',
			shares: [{ region: 'r1', share: 1 }],
			preferredHall: 'h1',
			now: 1000,
			position: 0,
			reachableRegions: new Set<string>(),
			maySpill: true,
			utilizationFactor: 1,
			mayUseCold: () => false
		})?.known.record.id;
	assert.match(choose()!, /^near/);
	near.forEach(item => (item.state.inFlight = 40));
	assert.match(choose()!, /^far/);
});

test('large responses stay in their region up to a higher load than small ones', () => {
	const capacities = new Map([
		['small', { slots: 10, demand: 10 }],
		['big', { slots: 90, demand: 10 }]
	]);
	const keptOf = (isLarge: boolean): number => planShares('small', capacities, isLarge)[0]!.share;
	assert.ok(Math.abs(keptOf(false) - 0.25) < 1e-9);
	assert.ok(Math.abs(keptOf(true) - 0.5) < 1e-9);
});

test('a region without targets keeps no requests, and a region without callers takes requests of others', () => {
	const capacities = new Map([
		['empty', { slots: 0, demand: 10 }],
		['idle', { slots: 50, demand: undefined }],
		['busy', { slots: 50, demand: 10 }]
	]);
	const shares = planShares('empty', capacities);
	assert.equal(shares[0]!.share, 0);
	assert.ok(shares.find(share => share.region === 'idle')!.share > 0.7);
});
