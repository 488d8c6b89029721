/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which targets go first: those of the own hall for large answers, and those that nobody has asked yet. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type KnownTarget } from '../../fleet/common/fleetView.js';
import { TargetPhase } from '../../fleet/common/fleetTypes.js';
import { servesItself } from '../common/placement/hallPreference.js';
import { findNewcomer, introducerOf } from '../common/placement/newcomers.js';
import { planShares } from '../common/placement/regionShares.js';
import { type Candidate, chooseTarget } from '../common/placement/targetChoice.js';
import { RegionLoad } from '../common/placement/regionLoad.js';
import { TargetState } from '../common/targets/targetState.js';

const ENTRIES = ['e1', 'e2', 'e3', 'e4'];

function candidate(id: string, changed: Partial<KnownTarget> = {}, hall = 'h1'): Candidate {
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
	const known = { record, region: 'r1', isSilent: false, coldUntil: 0, keptPart: 1, knownSince: 0, ...changed };
	return { known, state: new TargetState(id, 0, 4, new RegionLoad()) };
}

test('a newcomer gets its first request from one instance of its region, once', () => {
	const newcomer = candidate('new', { knownSince: 900 });
	const all = [candidate('old'), newcomer];
	const introducer = (name: string, region = 'r1') => ({ name, region, regionEntries: ENTRIES, servingSince: 800 });
	const found = ENTRIES.filter(name => findNewcomer(all, introducer(name), () => true) === newcomer);
	assert.deepEqual(found, [introducerOf(newcomer.known.record, ENTRIES)]);
	assert.equal(
		findNewcomer(all, introducer(found[0]!, 'r2'), () => true),
		undefined
	);
	assert.equal(
		findNewcomer(all, introducer(found[0]!), () => false),
		undefined
	);
	newcomer.state.isUsed = true;
	assert.equal(
		findNewcomer(all, introducer(found[0]!), () => true),
		undefined
	);
});

test('a hall with its part of the targets serves its own large answers', () => {
	assert.equal(
		servesItself(
			'a',
			new Map([
				['a', 9],
				['b', 10]
			])
		),
		true
	);
	assert.equal(
		servesItself(
			'a',
			new Map([
				['a', 3],
				['b', 10]
			])
		),
		false
	);
	assert.equal(servesItself('a', new Map()), true);
});

test('targets of the preferred hall go first, and the others of the region take what is too much for them', () => {
	const near = Array.from({ length: 3 }, (_, i) => candidate(`near-${i}`, {}, 'h1'));
	const far = Array.from({ length: 9 }, (_, i) => candidate(`far-${i}`, {}, 'h2'));
	const choose = (): string | undefined =>
		chooseTarget([...near, ...far], {
			objectKey: 'o',
			shares: [{ region: 'r1', share: 1 }],
			preferredHall: 'h1',
			now: 1000,
			position: 0,
			standing: new Set<string>(),
			maySpill: true,
			mayUseCold: () => false
		})?.known.record.id;
	assert.match(choose()!, /^near/);
	near.forEach(item => (item.state.inFlight = 40));
	assert.match(choose()!, /^far/);
});

test('large answers stay in their region up to a higher load than small ones', () => {
	const rooms = new Map([
		['small', { slots: 10, demand: 10 }],
		['big', { slots: 90, demand: 10 }]
	]);
	const keptOf = (isLarge: boolean): number => planShares('small', rooms, isLarge)[0]!.share;
	assert.ok(Math.abs(keptOf(false) - 0.25) < 1e-9);
	assert.ok(Math.abs(keptOf(true) - 0.5) < 1e-9);
});

test('a region without targets sends everything away, one without callers takes from all', () => {
	const rooms = new Map([
		['empty', { slots: 0, demand: 10 }],
		['idle', { slots: 50, demand: undefined }],
		['busy', { slots: 50, demand: 10 }]
	]);
	const shares = planShares('empty', rooms);
	assert.equal(shares[0]!.share, 0);
	assert.ok(shares.find(share => share.region === 'idle')!.share > 0.7);
});
