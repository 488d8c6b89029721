/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Shares that hold still through swings, and move by need alone. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { movedFraction, type RegionCapacity, type RegionShares, shareOf } from '../common/regionShares.js';
import { SteadyShares } from '../common/steadyShares.js';

const REGIONS = ['east', 'north', 'south'];
const SLOTS = [72, 324, 324];
const PERIOD_MS = 36000;
const STEP_MS = 250;
const MEAN_DEMAND = 91;

type Capacities = ReadonlyMap<string, RegionCapacity>;

let reports = 0;

/** Capacities with a demand that was reported anew: it differs from the one before, if only by little. */
function capacities(demands: readonly number[], slots: readonly number[] = SLOTS): Capacities {
	const factor = 1 + 1e-6 * (++reports % 2);
	return new Map(REGIONS.map((region, i) => [region, { slots: slots[i]!, demand: factor * demands[i]! }]));
}

/** Demand of the regions, a third of a period apart; their sum is steady. */
function swing(now: number): number[] {
	return REGIONS.map((_, i) => MEAN_DEMAND * (1 + 0.55 * Math.sin(2 * Math.PI * (now / PERIOD_MS - i / 3))));
}

function run(
	shares: SteadyShares,
	from: number,
	spanMs: number,
	at: (now: number) => Capacities
): { readonly last: RegionShares; readonly moved: number } {
	let last: RegionShares | undefined;
	let moved = 0;
	for (let now = from; now < from + spanMs; now += STEP_MS) {
		const next = shares.update(at(now), now);
		moved += last ? movedFraction(last, next) : 0;
		last = next;
	}
	return { last: last!, moved };
}

test('a swing of demand whose sum is steady moves hardly any objects', () => {
	for (const own of REGIONS) {
		const shares = new SteadyShares(own, false);
		run(shares, 0, 2 * PERIOD_MS, now => capacities(swing(now)));
		const { moved } = run(shares, 2 * PERIOD_MS, 3 * PERIOD_MS, now => capacities(swing(now)));
		assert.ok(moved <= 0.15, `${own}: ${moved.toFixed(3)} of the objects moved in three periods`);
	}
});

test('instances that start at different points of a swing come to nearly the same shares', () => {
	const starts = [0, 0.25, 0.5, 0.75].map(part => {
		const shares = new SteadyShares('east', false);
		return run(shares, part * PERIOD_MS, (4 - part) * PERIOD_MS, now => capacities(swing(now))).last;
	});
	starts.forEach(other => assert.ok(movedFraction(starts[0]!, other) <= 0.15));
});

test('a region that gets more than it can bear is relieved, and its objects return only long after', () => {
	const shares = new SteadyShares('east', false);
	const usual = run(shares, 0, 20000, () => capacities([91, 91, 91])).last;
	const demand = [200, 91, 91];
	const relieved = run(shares, 20000, 2000, () => capacities(demand)).last;
	assert.ok((shareOf(relieved, 'east') * demand[0]!) / SLOTS[0]! <= 0.76);
	const soon = run(shares, 22000, 20000, () => capacities([91, 91, 91])).last;
	assert.ok(movedFraction(relieved, soon) < 0.01);
	const later = run(shares, 42000, 180000, () => capacities([91, 91, 91])).last;
	assert.ok(movedFraction(usual, later) <= 0.1);
});

test('nothing moves in a service that is short of slots everywhere', () => {
	const shares = new SteadyShares('north', false);
	run(shares, 0, 20000, () => capacities([91, 91, 91]));
	const { moved } = run(shares, 20000, 20000, () => capacities([100, 400, 400]));
	assert.ok(moved <= 0.01, `${moved.toFixed(3)}`);
});

test('without news of control demand stands still, and the shares with it', () => {
	const shares = new SteadyShares('east', false);
	run(shares, 0, PERIOD_MS, now => capacities(swing(now)));
	const stuck = capacities(swing(PERIOD_MS));
	run(shares, PERIOD_MS, 2000, () => stuck);
	const { moved } = run(shares, PERIOD_MS + 2000, 120000, () => stuck);
	assert.ok(moved <= 0.11, `${moved.toFixed(3)}`);
});

test('an average of demand does not jump when control is heard again', () => {
	const shares = new SteadyShares('east', false);
	const before = run(shares, 0, 2 * PERIOD_MS, now => capacities(swing(now))).last;
	const after = run(shares, 2 * PERIOD_MS + 60000, 1000, () => capacities([140, 91, 42])).last;
	assert.ok(movedFraction(before, after) <= 0.1);
});

test('large responses stay at home where others would be moved', () => {
	const homeShare = (isLarge: boolean): number => {
		const shares = new SteadyShares('east', isLarge);
		return shareOf(run(shares, 0, 20000, () => capacities([91, 91, 91])).last, 'east');
	};
	assert.ok(homeShare(true) > 0.7 && homeShare(false) < 0.5, `${homeShare(true)} ${homeShare(false)}`);
});

test('a region whose targets are lost in the midst of a move gets nothing, and its share returns', () => {
	const shares = new SteadyShares('east', false);
	run(shares, 0, 20000, () => capacities([91, 91, 91]));
	run(shares, 20000, 500, () => capacities([200, 91, 91]));
	const lost = run(shares, 20500, 5000, () => capacities([200, 91, 91], [72, 0, 324])).last;
	assert.equal(shareOf(lost, 'north'), 0);
	const back = run(shares, 25500, 60000, () => capacities([91, 91, 91])).last;
	assert.ok(shareOf(back, 'north') > 0.2, `${shareOf(back, 'north')}`);
});

test('targets that restart fast and cold do not take their objects to and fro', () => {
	const shares = new SteadyShares('east', false);
	run(shares, 0, 20000, () => capacities([91, 91, 91]));
	const flapping = (now: number): Capacities =>
		capacities([91, 91, 91], [72, Math.floor(now / 1000) % 2 === 0 ? 324 : 200, 324]);
	const { moved } = run(shares, 20000, 40000, flapping);
	assert.ok(moved <= 0.3, `${moved.toFixed(3)}`);
});

test('regions without demand or slots do not stop the plan', () => {
	const shares = new SteadyShares('east', false);
	const none = new Map<string, RegionCapacity>(REGIONS.map(region => [region, { slots: 0, demand: undefined }]));
	assert.deepEqual(shares.update(none, 0), []);
	const some = new Map<string, RegionCapacity>([...none, ['north', { slots: 10, demand: undefined }]]);
	assert.equal(shareOf(run(shares, 250, 10000, () => some).last, 'north'), 1);
	const zero = run(shares, 10250, 10000, () => capacities([0, 0, 0])).last;
	zero.forEach(({ share }) => assert.ok(Number.isFinite(share)));
});
