/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Division of a capacity among ranks and teams. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type DemandGroup, divideCapacity } from '../common/capacityDivision.js';

function group(route: number, demand: number, weight = 1): DemandGroup {
	return { rank: { team: 0, route }, demand, weight };
}

function admitted(groups: readonly DemandGroup[], capacity: number): number[] {
	return divideCapacity(groups, capacity).map((part, i) => Math.round(part * groups[i]!.demand * 100) / 100);
}

test('all are admitted where the capacity suffices', () => {
	assert.deepEqual(divideCapacity([group(0, 40), group(2, 40)], 80), [1, 1]);
	assert.deepEqual(divideCapacity([], 0), []);
});

test('the higher rank is admitted in full, and the lower one gets the rest', () => {
	assert.deepEqual(admitted([group(2, 160), group(0, 40)], 80), [40, 40]);
});

test('the rank of the team precedes that of the route', () => {
	const groups = [
		{ rank: { team: 1, route: 0 }, demand: 50, weight: 1 },
		{ rank: { team: 0, route: 3 }, demand: 50, weight: 1 }
	];
	assert.equal(divideCapacity(groups, 60)[1], 1);
});

test('a rank keeps 0.3 of an equal part, at most a tenth of the capacity', () => {
	assert.deepEqual(admitted([group(0, 90), group(2, 10)], 50), [48.5, 1.5]);
	assert.deepEqual(admitted([group(0, 100), group(2, 900)], 50), [45, 5]);
});

test('teams of a rank get max-min fair shares, and what one does not use goes to the others', () => {
	assert.deepEqual(admitted([group(0, 160), group(0, 20), group(0, 50)], 100), [40, 20, 40]);
});

test('teams with a configured rate share by it', () => {
	assert.deepEqual(admitted([group(0, 100, 30), group(0, 100, 10)], 80), [60, 20]);
});

test('the whole capacity is given out, and no group gets more than it asks for (drawn)', () => {
	let state = 7;
	const next = (): number => (state = (Math.imul(state, 1664525) + 1013904223) >>> 0) / 2 ** 32;
	for (let round = 0; round < 500; round++) {
		const groups = Array.from({ length: 1 + Math.floor(next() * 8) }, () =>
			group(Math.floor(next() * 3), 0.01 + next() * 100, 1 + next() * 20)
		);
		const total = groups.reduce((sum, { demand }) => sum + demand, 0);
		const capacity = total * next();
		const parts = divideCapacity(groups, capacity);
		const given = parts.reduce((sum, part, i) => sum + part * groups[i]!.demand, 0);
		assert.ok(Math.abs(given - capacity) < 1e-6, `${given} of ${capacity}`);
		assert.ok(parts.every(part => part > 0 && part <= 1));
	}
});
