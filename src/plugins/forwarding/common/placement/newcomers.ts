/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Targets that joined and may never be asked, since no object happens to be placed on them: one instance of the region,
 * the same in every instance's reckoning, sends each of them a first request, which also shows whether it is sound.
 * Targets that were there before the first request are left to the placement of objects: introductions would send the first
 * requests of a fleet to targets that no other instance uses for the same objects, and each would be touched first twice.
 */

import { rendezvousRank } from '../../../../base/hashing.js';
import type { Millis } from '../../../../base/clock.js';
import type { TargetRecord } from '../../../fleet/common/fleetTypes.js';
import type { Candidate } from './targetChoice.js';

/** The instance that sends a target its first request: one that may do so while it is cold, where there is one. */
export function introducerOf(target: TargetRecord, regionEntries: readonly string[]): string | undefined {
	const sender = target.pacedSenders.find(name => regionEntries.includes(name));
	return sender ?? rendezvousRank(target.id, regionEntries)[0];
}

/** The instance that looks for newcomers. */
export interface Introducer {
	readonly name: string;
	readonly region: string;
	/** Names of the entry instances of its region. */
	readonly regionEntries: readonly string[];
	/** When it had its first request for the service. */
	readonly servingSince: Millis;
}

/** A newcomer that this instance should send its first request to. */
export function findNewcomer(
	candidates: readonly Candidate[],
	{ name, region, regionEntries, servingSince }: Introducer,
	isUsable: (candidate: Candidate) => boolean
): Candidate | undefined {
	const isNewcomer = ({ known, state }: Candidate): boolean =>
		known.knownSince > servingSince && !state.isUsed && !known.isSilent && known.region === region;
	return candidates.find(
		candidate =>
			isNewcomer(candidate) && introducerOf(candidate.known.record, regionEntries) === name && isUsable(candidate)
	);
}
