/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which entry instance a request is relayed to. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EntryPeer } from '../../fleet/common/fleetWire.js';
import { RelayPeers } from '../common/relayPeers.js';

const PEERS: readonly EntryPeer[] = [
	{ name: 'n1', address: '127.0.0.1:1', region: 'north' },
	{ name: 'n2', address: '127.0.0.1:2', region: 'north' },
	{ name: 's1', address: '127.0.0.1:3', region: 'south' },
	{ name: 'c1', address: '127.0.0.1:4', region: 'central' }
];
const ANYWHERE = { homeRegions: [], tried: new Set<string>() };

test('peers of the own region go first, and share the requests', () => {
	const relay = new RelayPeers('north');
	const counts = new Map<string, number>();
	for (let i = 0; i < 30; i++) {
		const peer = relay.choose(PEERS, ANYWHERE, 0)!;
		relay.begin(peer);
		counts.set(peer.name, (counts.get(peer.name) ?? 0) + 1);
	}
	assert.deepEqual([...counts].sort(), [
		['n1', 15],
		['n2', 15]
	]);
});

test('a request with home regions goes to peers there only', () => {
	const relay = new RelayPeers('north');
	const homeRegions = ['south'];
	assert.equal(relay.choose(PEERS, { homeRegions, tried: new Set() }, 0)?.name, 's1');
	assert.equal(relay.choose(PEERS, { homeRegions, tried: new Set(['s1']) }, 0), undefined);
});

test('a peer that took no request is left out for a second', () => {
	const relay = new RelayPeers('south');
	relay.recordFailure(PEERS[2]!, 1000);
	assert.notEqual(relay.choose(PEERS, ANYWHERE, 1500)?.name, 's1');
	assert.equal(relay.choose(PEERS, ANYWHERE, 2000)?.name, 's1');
});

test('requests that have ended do not count', () => {
	const relay = new RelayPeers('north');
	relay.begin(PEERS[0]!);
	assert.equal(relay.choose(PEERS, ANYWHERE, 0)?.name, 'n2');
	relay.begin(PEERS[1]!);
	relay.begin(PEERS[1]!);
	relay.end(PEERS[0]!);
	assert.equal(relay.choose(PEERS, ANYWHERE, 0)?.name, 'n1');
});
