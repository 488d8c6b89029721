/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Look-ups must not direct all callers to the few entry instances that a control instance has observed so far. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { selectEntries, canAnswerLookUps, mergeRemembered, sumDemandByRegion } from '../common/entryLookUp.js';
import type { EntryDescription } from '../common/fleetTypes.js';
import { describeEntry } from '../../../../test/fakes/describeEntry.js';
import { ObservationCompleteness } from '../common/observationCompleteness.js';
import { LivenessTracker } from '../common/livenessTracker.js';

function entry(name: string, region = 'r1', isReady = true): EntryDescription {
	return describeEntry({ name, region, isReady });
}

function names(entries: readonly EntryDescription[]): string[] {
	return entries.map(item => item.name);
}

test('a look-up returns the ready instances of the region', () => {
	const all = [entry('a'), entry('b'), entry('c', 'r1', false), entry('d', 'r2'), entry('e', 'r2')];
	assert.deepEqual(names(selectEntries(all, 'r1')), ['a', 'b']);
	assert.deepEqual(names(selectEntries(all, 'elsewhere')), ['a', 'b', 'd', 'e']);
});

test('a region with too few instances left gets those of all regions', () => {
	const many = Array.from({ length: 9 }, (_, i) => entry(`far-${i}`, 'r2'));
	assert.equal(selectEntries([entry('last'), ...many], 'r1').length, 10);
	assert.equal(selectEntries([entry('a'), entry('b'), entry('c'), ...many], 'r1').length, 3);
});

test('the last instance of a region serves it alone while that is enough compared to the mean of the regions', () => {
	const others = Array.from({ length: 8 }, (_, i) => entry(`far-${i}`, i < 4 ? 'r2' : 'r3'));
	assert.deepEqual(names(selectEntries([entry('last'), ...others], 'r1')), ['last']);
});

test('a partitioned control instance keeps returning the entry instances that it observed before', () => {
	const liveness = new LivenessTracker({ entryTimeoutMs: 2500, heartbeatTimeoutMs: 4500 }, 0);
	const clock = new ObservationCompleteness();
	for (let now = 0; now <= 2000; now += 250) {
		clock.setConnected(true, now);
		['a', 'b', 'c'].forEach(name => liveness.recordEntry(entry(name), now));
	}
	for (let now = 2250; now <= 9000; now += 250) {
		clock.setConnected(false, now);
		liveness.recordEntry(entry('c'), now);
	}
	assert.deepEqual(names(liveness.liveEntries(clock.lastCompleteAt(9000)!)), ['a', 'b', 'c']);
	assert.equal(clock.lastCompleteAt(30000), undefined);
});

test('after a start or a partition, observations are complete only after the settle time', () => {
	const clock = new ObservationCompleteness();
	clock.setConnected(true, 100);
	assert.equal(clock.lastCompleteAt(200), undefined);
	clock.setConnected(true, 1200);
	assert.equal(clock.lastCompleteAt(1200), 1200);
	clock.setConnected(false, 1400);
	clock.setConnected(true, 5000);
	assert.equal(clock.lastCompleteAt(5000), 1200);
	clock.setConnected(true, 6100);
	assert.equal(clock.lastCompleteAt(6100), 6100);
});

test('a control instance that has just started returns remembered instances until they report', () => {
	const remembered = [entry('a'), entry('b')];
	assert.deepEqual(names(mergeRemembered([], remembered)), ['a', 'b']);
	assert.deepEqual(names(selectEntries(mergeRemembered([entry('a', 'r1', false)], remembered), 'r1')), ['b']);
});

test('without remembered instances, look-ups are not answered until the start-up wait is over', () => {
	assert.equal(canAnswerLookUps([], 500), false);
	assert.equal(canAnswerLookUps([entry('a')], 500), true);
	assert.equal(canAnswerLookUps([], 3500), true);
});

test('observations are complete from the end of the settle time until the connection is lost', () => {
	const clock = new ObservationCompleteness();
	clock.setConnected(true, 100);
	assert.equal(clock.completeSince, undefined);
	clock.setConnected(true, 1200);
	assert.equal(clock.completeSince, 1100);
	clock.setConnected(false, 1400);
	assert.equal(clock.completeSince, undefined);
	clock.setConnected(true, 1500);
	assert.equal(clock.completeSince, undefined);
});

/** Guards against names that match what every object inherits. */
test('the demand for a service named like an inherited member is summed by region', () => {
	const demanding = { ...entry('a'), demand: { constructor: 2 } };
	assert.deepEqual(sumDemandByRegion([demanding, { ...demanding, name: 'b' }]), { constructor: { r1: 4 } });
	assert.equal(sumDemandByRegion([{ ...demanding, region: 'constructor' }])['constructor']!['constructor'], 2);
});
