/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which entry instances a given one can relay requests to. */

import { hash32, rendezvousRank } from '../../../base/hashing.js';
import type { EntryDescription } from './fleetTypes.js';
import type { EntryPeerList } from './fleetWire.js';

/** Bounds the size of a list; each instance lists other ones, so that none gets the requests of all. */
const MAX_PEERS_PER_REGION = 8;

/**
 * The instances that `self` can relay requests to, some of each region.
 * @param ready live entry instances that accept callers
 */
export function listPeers(ready: readonly EntryDescription[], self: EntryDescription): EntryPeerList {
	const usable = ready.filter(entry => entry.name !== self.name && entry.isPartitioned !== true);
	const byName = new Map(usable.map(entry => [entry.name, entry]));
	const countByRegion = new Map<string, number>();
	const peers = rendezvousRank(self.name, [...byName.keys()])
		.map(name => byName.get(name)!)
		.filter(({ region }) => {
			const count = (countByRegion.get(region) ?? 0) + 1;
			countByRegion.set(region, count);
			return count <= MAX_PEERS_PER_REGION;
		})
		.map(({ name, peerAddress, region }) => ({ name, address: peerAddress, region }));
	return { digest: hash32(peers.map(({ name, address }) => `${name} ${address}`).join()), peers };
}
