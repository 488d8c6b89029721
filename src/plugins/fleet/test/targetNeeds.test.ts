/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Needs of targets as sums over all instances, and the parts of their objects that targets keep. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TargetPhase, type TargetRecord } from '../common/fleetTypes.js';
import { TargetNeeds } from '../common/targetNeeds.js';

const SLOTS = 10;

function target(id: string, phase = TargetPhase.Serving): TargetRecord {
	const description = { id, bornAt: 0, service: 's', address: '127.0.0.1:1', hall: 'h', version: 'v', slots: SLOTS };
	return { ...description, phase, changedAt: 1, pacedSenders: [] };
}

const TARGETS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(id => target(id));

/** Notes a steady need of some slots at each target, a quarter of a second at a time. */
function noteSteadily(needs: TargetNeeds, slots: Readonly<Record<string, number>>, from: number, until: number): void {
	for (let now = from; now < until; now += 250) {
		needs.note(Object.fromEntries(Object.entries(slots).map(([id, needed]) => [id, needed / 4])), now);
	}
}

function keptOf(needs: TargetNeeds, id: string, now: number): number {
	return needs.crowded(TARGETS, () => 'r', now).find(crowded => crowded.id === id)?.keptPart ?? 1;
}

test('a target keeps the part of its objects that it can serve, the others keep all of theirs', () => {
	const needs = new TargetNeeds();
	noteSteadily(needs, { a: 13, b: 4 }, 0, 20000);
	assert.ok(Math.abs(needs.slotsNeeded('a', 20000) - 13) < 1.5);
	assert.ok(Math.abs(keptOf(needs, 'a', 20000) - 6.5 / 13) < 0.08);
	assert.equal(keptOf(needs, 'b', 20000), 1);
});

test('where all targets are full, they keep their objects up to a little above the mean', () => {
	const needs = new TargetNeeds();
	noteSteadily(needs, Object.fromEntries(TARGETS.map(({ id }) => [id, 20])), 0, 20000);
	assert.deepEqual(
		needs.crowded(TARGETS, () => 'r', 20000),
		[]
	);
});

test('small changes of a need move no objects, and a need that has gone gives them back', () => {
	const needs = new TargetNeeds();
	noteSteadily(needs, { a: 13 }, 0, 20000);
	const kept = keptOf(needs, 'a', 20000);
	noteSteadily(needs, { a: 12 }, 20000, 40000);
	assert.equal(keptOf(needs, 'a', 40000), kept);
	noteSteadily(needs, { a: 2 }, 40000, 60000);
	assert.equal(keptOf(needs, 'a', 60000), 1);
});

test('what one control instance was told counts at the others, once', () => {
	const [first, second] = [new TargetNeeds(), new TargetNeeds()];
	for (let now = 0; now < 20000; now += 250) {
		first.note({ a: 3 }, now);
		second.merge(first.takeFresh(), now);
	}
	assert.deepEqual(first.takeFresh(), {});
	assert.ok(Math.abs(first.slotsNeeded('a', 20000) - second.slotsNeeded('a', 20000)) < 1e-9);
	assert.deepEqual(second.takeFresh(), {});
});

test('the first second of needs counts as one second, and a target that has left gives nothing away', () => {
	const needs = new TargetNeeds();
	needs.note({ a: 12 }, 1000);
	assert.ok(Math.abs(needs.slotsNeeded('a', 1000) - 12) < 2);
	assert.deepEqual(
		needs.crowded([target('a', TargetPhase.Leaving)], () => 'r', 1000),
		[]
	);
});
