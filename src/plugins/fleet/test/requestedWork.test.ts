/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Work requested at targets, summed over all instances, and the fraction of objects that overloaded targets keep. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TargetPhase, type TargetRecord } from '../common/fleetTypes.js';
import { RequestedWork } from '../common/requestedWork.js';

const SLOTS = 10;

function target(id: string, phase = TargetPhase.Serving): TargetRecord {
	const description = { id, bornAt: 0, service: 's', address: '127.0.0.1:1', hall: 'h', version: 'v', slots: SLOTS };
	return { ...description, phase, changedAt: 1, pacedSenders: [] };
}

const TARGETS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(id => target(id));

/** Adds constant work at each target, in slots, every 250 ms. */
function addConstantWork(
	work: RequestedWork,
	slots: Readonly<Record<string, number>>,
	from: number,
	until: number
): void {
	for (let now = from; now < until; now += 250) {
		work.addReported(Object.fromEntries(Object.entries(slots).map(([id, needed]) => [id, needed / 4])), now);
	}
}

function keptPartOf(work: RequestedWork, id: string, now: number): number {
	return work.findCrowded(TARGETS, () => 'r', now).find(crowded => crowded.id === id)?.keptPart ?? 1;
}

test('an overloaded target keeps the fraction of objects that it can serve, the others keep all', () => {
	const work = new RequestedWork();
	addConstantWork(work, { a: 13, b: 4 }, 0, 20000);
	assert.ok(Math.abs(work.slotsNeeded('a', 20000) - 13) < 1.5);
	assert.ok(Math.abs(keptPartOf(work, 'a', 20000) - 6.5 / 13) < 0.08);
	assert.equal(keptPartOf(work, 'b', 20000), 1);
});

test('if all targets are overloaded equally, none moves objects away', () => {
	const work = new RequestedWork();
	addConstantWork(work, Object.fromEntries(TARGETS.map(({ id }) => [id, 20])), 0, 20000);
	assert.deepEqual(
		work.findCrowded(TARGETS, () => 'r', 20000),
		[]
	);
});

test('small changes of requested work do not change the kept fraction; once the overload ends, all objects return', () => {
	const work = new RequestedWork();
	addConstantWork(work, { a: 13 }, 0, 20000);
	const kept = keptPartOf(work, 'a', 20000);
	addConstantWork(work, { a: 12 }, 20000, 40000);
	assert.equal(keptPartOf(work, 'a', 40000), kept);
	addConstantWork(work, { a: 2 }, 40000, 60000);
	assert.equal(keptPartOf(work, 'a', 60000), 1);
});

test('work reported to one control instance is counted once at the others', () => {
	const [first, second] = [new RequestedWork(), new RequestedWork()];
	for (let now = 0; now < 20000; now += 250) {
		first.addReported({ a: 3 }, now);
		second.merge(first.takeUnsent(), now);
	}
	assert.deepEqual(first.takeUnsent(), {});
	assert.ok(Math.abs(first.slotsNeeded('a', 20000) - second.slotsNeeded('a', 20000)) < 1e-9);
	assert.deepEqual(second.takeUnsent(), {});
});

test('the first work of a target is averaged over one second, and leaving targets are not reported as crowded', () => {
	const work = new RequestedWork();
	work.addReported({ a: 12 }, 1000);
	assert.ok(Math.abs(work.slotsNeeded('a', 1000) - 12) < 2);
	assert.deepEqual(
		work.findCrowded([target('a', TargetPhase.Leaving)], () => 'r', 1000),
		[]
	);
});
