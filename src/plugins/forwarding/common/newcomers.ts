/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Targets that joined and may never be asked, since no object happens to be placed on them: one instance of the region,
 * the same in every instance's reckoning, sends each of them a first request, which also shows whether it is sound.
 */

import { rendezvousRank } from '../../../base/hashing.js';
import type { TargetRecord } from '../../fleet/common/fleetTypes.js';
import type { Candidate } from './targetChoice.js';

/** The instance that sends a target its first request: one that may do so while it is cold, where there is one. */
export function introducerOf(target: TargetRecord, regionEntries: readonly string[]): string | undefined {
	const sender = target.coldSenders.find(name => regionEntries.includes(name));
	return sender ?? rendezvousRank(target.id, regionEntries)[0];
}

/**
 * A newcomer that this instance should send its first request to.
 * @param ownName name of this instance
 * @param regionEntries the entry instances of its region
 */
export function findNewcomer(
	candidates: readonly Candidate[],
	ownRegion: string,
	ownName: string,
	regionEntries: readonly string[],
	isUsable: (candidate: Candidate) => boolean
): Candidate | undefined {
	const isNewcomer = ({ known, state }: Candidate): boolean =>
		known.hasJoined && !state.isUsed && !known.isSilent && known.region === ownRegion;
	return candidates.find(
		candidate =>
			isNewcomer(candidate) && introducerOf(candidate.known.record, regionEntries) === ownName && isUsable(candidate)
	);
}
