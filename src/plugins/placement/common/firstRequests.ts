/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Sends a first request to targets that joined after this instance began to serve. Placement by object may never select such
 * a target, so one instance of the region, on which all instances agree, sends it a request, which also shows whether it is
 * healthy. Targets known before that are left to placement by object: otherwise the first requests of a fleet would go to
 * targets that no other instance uses for the same objects.
 */

import { rendezvousRank } from '../../../base/hashing.js';
import type { Millis } from '../../../base/clock.js';
import type { TargetRecord } from '../../fleet/common/fleetTypes.js';
import type { Candidate } from './targetChoice.js';

/** Returns the instance that sends a target its first request: one that may send to it while it is cold, if there is any. */
export function firstRequestSender(target: TargetRecord, regionEntries: readonly string[]): string | undefined {
	const sender = target.pacedSenders.find(name => regionEntries.includes(name));
	return sender ?? rendezvousRank(target.id, regionEntries)[0];
}

/** The instance that looks for unused targets. */
export interface ServingInstance {
	readonly name: string;
	readonly region: string;
	/** Names of the entry instances of its region. */
	readonly regionEntries: readonly string[];
	/** When it received its first request for the service. */
	readonly servingSince: Millis;
}

/** Returns a target that joined later, was never used, and should get its first request from this instance. */
export function findUnusedTarget(
	candidates: readonly Candidate[],
	{ name, region, regionEntries, servingSince }: ServingInstance,
	isUsable: (candidate: Candidate) => boolean
): Candidate | undefined {
	const isUnused = ({ known, state }: Candidate): boolean =>
		known.knownSince > servingSince && !state.isUsed && !known.isSilent && known.region === region;
	return candidates.find(
		candidate =>
			isUnused(candidate) && firstRequestSender(candidate.known.record, regionEntries) === name && isUsable(candidate)
	);
}
