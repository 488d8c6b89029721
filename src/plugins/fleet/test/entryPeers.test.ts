/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Entry instances that requests are relayed to, and look-ups while some reach no target. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { selectEntries } from '../common/entryLookUp.js';
import { listPeers } from '../common/entryPeers.js';
import type { EntryDescription } from '../common/fleetTypes.js';

function entry(name: string, region: string, isPartitioned?: boolean): EntryDescription {
	const address = `${name}:1`;
	return {
		name,
		incarnation: name,
		sequence: 1,
		hall: `${region}-a`,
		region,
		callerAddress: address,
		peerAddress: address,
		isReady: true,
		revision: 1,
		demand: {},
		isPartitioned
	};
}

const SELF = entry('n0', 'north');

function names(entries: readonly { name: string }[]): string[] {
	return entries.map(({ name }) => name).sort();
}

test('an instance is told the others that reach targets', () => {
	const list = listPeers([SELF, entry('n1', 'north'), entry('n2', 'north', true), entry('s1', 'south')], SELF);
	assert.deepEqual(names(list.peers), ['n1', 's1']);
});

test('the list is bounded by region, and differs between instances', () => {
	const others = Array.from({ length: 60 }, (_unused, i) => entry(`s${i}`, i % 2 === 0 ? 'south' : 'central'));
	const { peers } = listPeers(others, SELF);
	assert.deepEqual(
		['south', 'central', 'north'].map(region => peers.filter(peer => peer.region === region).length),
		[8, 8, 0]
	);
	assert.notDeepEqual(names(listPeers(others, entry('n1', 'north')).peers), names(peers));
});

test('the digest tells equal lists, and lists with another address', () => {
	const others = [entry('n1', 'north'), entry('s1', 'south')];
	const { digest } = listPeers(others, SELF);
	assert.equal(listPeers([...others].reverse(), SELF).digest, digest);
	const moved = { ...others[0]!, peerAddress: 'n1:2' };
	assert.notEqual(listPeers([moved, others[1]!], SELF).digest, digest);
});

test('look-ups leave out instances that reach no target as long as there are others in the region', () => {
	const entries = [entry('n1', 'north', true), entry('n2', 'north'), entry('s1', 'south'), entry('s2', 'south')];
	assert.deepEqual(names(selectEntries(entries, 'north')), ['n2']);
	const allPartitioned = [entry('n1', 'north', true), entry('n2', 'north', true), entry('s1', 'south')];
	assert.deepEqual(names(selectEntries(allPartitioned, 'north')), ['n1', 'n2']);
});
