/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Selection of the instances that a request can be passed to. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { DirectoryEntry, RegionLoads } from '../../membership/common/entryReport.js';
import { planSpill } from '../common/spill.js';

const SELF = { instance: 'e1', hall: 'h1', region: 'r1' };

function directoryEntry(instance: string, region = 'r1'): DirectoryEntry {
	const identity = { instance, hall: 'h1', region, url: '', peerAddress: instance, incarnation: '1' };
	return { identity, leaving: false };
}

function loads(slots: Readonly<Record<string, number>>): RegionLoads {
	const instances = Object.keys(slots);
	const columns = { service: 's', instances, slots: Object.values(slots), used: instances.map(() => 0) };
	return { region: 'r1', services: [columns] };
}

function queueCandidateNames(reported: RegionLoads | undefined, entries: readonly DirectoryEntry[]): string[] {
	return planSpill('s', SELF, entries, reported, () => 0.5).queueCandidates.map(entry => entry.identity.instance);
}

test('instances without known slots come after those with slots', () => {
	const entries = ['e1', 'e2', 'e3', 'e4'].map(name => directoryEntry(name));
	assert.deepEqual(queueCandidateNames(loads({ e1: 6, e3: 6, e4: 0 }), entries), ['e3', 'e2', 'e4']);
	assert.deepEqual(queueCandidateNames(undefined, entries), ['e2', 'e3', 'e4']);
});

test('instances of other regions are not selected, nor instances without slots for a free slot', () => {
	const entries = [directoryEntry('e2'), directoryEntry('e3', 'r2')];
	assert.deepEqual(queueCandidateNames(undefined, entries), ['e2']);
	assert.deepEqual(planSpill('s', SELF, entries, loads({ e2: 0 }), () => 0.5).freeSlotCandidates, []);
});
