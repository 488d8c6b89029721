/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Choice of targets: object affinity, region shares, cold targets, the retry budget and demand metering. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DemandMeter } from '../common/demandMeter.js';
import { planShares, type RegionShares } from '../common/regionShares.js';
import { SharePacer } from '../common/sharePacer.js';
import { ServiceRetryBudget } from '../../forwarding/common/serviceRetryBudget.js';
import { type Candidate, chooseTarget } from '../common/targetChoice.js';
import { RegionLoad } from '../common/regionLoad.js';
import { TargetState } from '../common/targets/targetState.js';
import { parseLoadReport } from '../common/targets/targetReport.js';
import { TargetPhase } from '../../fleet/common/fleetTypes.js';

const ALL_IN_R1: RegionShares = [
	{ region: 'r1', share: 1 },
	{ region: 'r2', share: 0 }
];

function candidate(id: string, region = 'r1', slots = 4): Candidate {
	const record = {
		id,
		bornAt: 0,
		service: 's',
		address: '127.0.0.1:1',
		hall: `${region}-hall`,
		version: 'v',
		slots,
		phase: TargetPhase.Serving,
		changedAt: 1,
		pacedSenders: []
	};
	return {
		known: { record, region, isSilent: false, coldUntil: 0, keptPart: 1, knownSince: 0 },
		state: new TargetState(id, 0, slots, new RegionLoad())
	};
}

function choose(candidates: Candidate[], objectKey: string | undefined, shares = ALL_IN_R1, mayUseCold = false) {
	return chooseTarget(candidates, {
		objectKey,
		shares,
		now: 1000,
		position: Math.random(),
		reachableRegions: new Set<string>(),
		maySpill: true,
		utilizationFactor: 1,
		mayUseCold: () => mayUseCold
	})?.known.record.id;
}

test('an object keeps its target when other targets are added or removed', () => {
	const all = Array.from({ length: 8 }, (_, i) => candidate(`t${i}`));
	const first = choose(all, 'object-1')!;
	assert.equal(
		choose(
			all.filter(item => item.known.record.id === first || Math.random() < 0.5),
			'object-1'
		),
		first
	);
});

test('an object uses at most two targets of a region, regardless of their load', () => {
	const all = Array.from({ length: 8 }, (_, i) => candidate(`t${i}`));
	const used = new Set<string>();
	for (let i = 0; i < 100; i++) {
		const id = choose(all, 'object-1');
		if (id !== undefined) {
			used.add(id);
			all.find(item => item.known.record.id === id)!.state.inFlight++;
		}
	}
	assert.equal(used.size, 2);
	assert.equal(choose(all, 'object-1'), undefined);
});

test('a cold target gets a request only if the context allows it', () => {
	const cold = candidate('cold');
	cold.known.coldUntil = 5000;
	assert.equal(choose([cold], 'object-1'), undefined);
	assert.equal(choose([cold], 'object-1', ALL_IN_R1, true), 'cold');
});

test('silent and unreachable targets are used only if there are no others', () => {
	const [a, b] = [candidate('a'), candidate('b')];
	a.known.isSilent = true;
	assert.equal(choose([a, b], undefined), 'b');
	b.state.health.recordUnreachable(990);
	assert.notEqual(choose([a, b], undefined), undefined);
});

test('a region with few targets keeps what they can serve and sends the rest to regions with spare capacity', () => {
	const capacities = new Map([
		['north', { slots: 108, demand: 30 }],
		['central', { slots: 18, demand: 30 }],
		['south', { slots: 90, demand: 30 }]
	]);
	const shares = planShares('central', capacities);
	assert.equal(shares[0]!.region, 'central');
	assert.ok(shares[0]!.share > 0.3 && shares[0]!.share < 0.5);
	assert.ok(Math.abs(shares.reduce((sum, share) => sum + share.share, 0) - 1) < 1e-9);
	assert.equal(planShares('north', capacities)[0]!.share, 1);
	const lowDemand = new Map([...capacities].map(([region, capacity]) => [region, { ...capacity, demand: 5 }]));
	assert.ok(
		planShares('central', lowDemand)[0]!.share < 0.5,
		'low demand does not raise the share of a region above its capacity'
	);
	const homes = shares.map(share => share.region);
	const counts = new Map(homes.map(region => [region, 0]));
	const targets = homes.map(region => candidate(`t-${region}`, region, 1000));
	for (let i = 0; i < 3000; i++) {
		const region = choose(targets, `object-${i}`, shares)!.slice(2);
		counts.set(region, counts.get(region)! + 1);
	}
	for (const { region, share } of shares) {
		assert.ok(Math.abs(counts.get(region)! / 3000 - share) < 0.05);
	}
});

test('retries stay within this instance’s part of the budget', () => {
	const budget = new ServiceRetryBudget({ ratio: 0.2, windowMs: 10000, slack: 9 });
	for (let i = 0; i < 100; i++) {
		budget.recordFirstAttempt(50000 + i);
	}
	let taken = 0;
	while (budget.tryTake(9, 50200)) {
		taken++;
	}
	assert.ok(taken > 5 && taken <= 21);
	assert.equal(budget.tryTake(9, 58000), undefined);
	assert.equal(budget.tryTake(9, 75000), undefined);
});

test('a cold target admits one request at once and further ones at its rate', () => {
	const state = new TargetState('a', 0, 4, new RegionLoad());
	assert.equal(state.tryTakeColdToken(2, 10000), true);
	assert.equal(state.tryTakeColdToken(2, 10001), false);
	assert.equal(state.tryTakeColdToken(2, 10600), true);
	assert.equal(state.tryTakeColdToken(0, 99999), false);
});

test('malformed load reports are ignored', () => {
	assert.deepEqual(parseLoadReport('3,0,8'), { running: 3, waiting: 0, slots: 8, workTimeFactor: undefined });
	for (const text of [undefined, '', '3,0', 'a,b,c', '-1,0,8', 'a,0,8,100', '-1,0,8,100', '3,0,8,100,1']) {
		assert.equal(parseLoadReport(text), undefined);
	}
});

test('a load report may state how long work takes, and a work time out of range leaves the other figures valid', () => {
	const load = { running: 3, waiting: 1, slots: 8 };
	assert.deepEqual(parseLoadReport('3,1,8,100'), { ...load, workTimeFactor: 1 });
	assert.deepEqual(parseLoadReport('3,1,8,250'), { ...load, workTimeFactor: 2.5 });
	for (const text of ['3,1,8,0', '3,1,8,-100', '3,1,8,1000000', '3,1,8,fast', '3,1,8,']) {
		assert.deepEqual(parseLoadReport(text), { ...load, workTimeFactor: undefined }, text);
	}
});

const NO_RATES: ReadonlyMap<string, number> = new Map();

test('shares use only a part of the shift bound, and leave a region without targets at once', () => {
	const pacer = new SharePacer({ maxMovedFraction: 0.15, windowMs: 2000 });
	const at = (here: number): RegionShares => [
		{ region: 'r1', share: here },
		{ region: 'r2', share: 1 - here }
	];
	const SLOTS = new Map([
		['r1', 9],
		['r2', 9]
	]);
	const hereAfter = (wanted: RegionShares, now: number, slots = SLOTS): number => {
		pacer.update(
			{
				shares: wanted,
				rejectionRates: NO_RATES,
				reliableRejectionRates: NO_RATES,
				availableSlots: slots,
				slots,
				evenDemandOwnShare: 1
			},
			now
		);
		return pacer.shares.find(({ region }) => region === 'r1')?.share ?? 0;
	};
	assert.equal(hereAfter(at(1), 0), 1);
	const after = hereAfter(at(0.2), 2000);
	assert.ok(Math.abs(after - (1 - 0.55 * 0.15)) < 1e-9, `${after}`);
	const afterPause = hereAfter(at(0.2), 60000);
	assert.ok(
		Math.abs(afterPause - (1 - 2 * 0.55 * 0.15)) < 1e-9,
		`after a pause only the moves of one window are made: ${afterPause}`
	);
	assert.equal(hereAfter([{ region: 'r2', share: 1 }], 60100, new Map([...SLOTS, ['r1', 0]])), 0);
	assert.ok(hereAfter(at(1), 60200) <= 0.05 * 0.0825 + 1e-9, 'the return keeps to the shift bound');
});

test('a region exceeds its equal-demand share slowly, and gives up the excess at the full rate', () => {
	const pacer = new SharePacer({ maxMovedFraction: 0.2, windowMs: 2000 });
	const slots = new Map([
		['r1', 9],
		['r2', 90]
	]);
	const ownAfter = (here: number, now: number): number => {
		const shares = [
			{ region: 'r1', share: here },
			{ region: 'r2', share: 1 - here }
		];
		pacer.update(
			{
				shares,
				rejectionRates: NO_RATES,
				reliableRejectionRates: NO_RATES,
				availableSlots: slots,
				slots,
				evenDemandOwnShare: 0.35
			},
			now
		);
		return pacer.shares[0]!.share;
	};
	assert.equal(ownAfter(0.3, 0), 0.3);
	assert.ok(Math.abs(ownAfter(1, 2000) - 0.35) < 1e-9);
	assert.ok(Math.abs(ownAfter(1, 4000) - 0.35 - 0.2 * 0.11) < 1e-9);
	assert.ok(ownAfter(0.1, 6000) < 0.28);
});

test('demand in slots is the request rate times the service time without queueing', () => {
	const meter = new DemandMeter(0);
	for (let i = 0; i < 1000; i++) {
		meter.recordRequest(i * 10);
		meter.recordResponse(i % 2 === 0 ? 100 : 2000);
	}
	const slots = meter.slots(10000);
	assert.ok(slots > 8 && slots < 20, `${slots}`);
	assert.ok(meter.slots(70000) < 1);
});
