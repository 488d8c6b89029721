/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Selects the entry instances that may send to a target while its request rate is limited, that is while it is cold or declares
 * a limit. A control instance selects them and stores them in the target's record: if each entry instance divided the limit by
 * the number of instances it knows of, the shares could add up to more than the limit after a partition or a start.
 */

import { rendezvousRank } from '../../../base/hashing.js';
import type { EntryDescription } from './fleetTypes.js';

/** Few, so that each share allows whole requests; more than one, so that a sender may fail. */
const MAX_PACED_SENDERS = 2;

/**
 * Selects senders for a target among the ready entry instances of its region.
 * @param region the target's region
 * @param entries live entry instances
 */
export function selectPacedSenders(targetId: string, region: string, entries: readonly EntryDescription[]): string[] {
	return selectReady(
		targetId,
		entries.filter(entry => entry.region === region)
	);
}

/** Selects senders from all regions, for a target whose region is unknown or has no ready entry instances. */
export function selectPacedSendersFromAnyRegion(targetId: string, entries: readonly EntryDescription[]): string[] {
	return selectReady(targetId, entries);
}

function selectReady(targetId: string, entries: readonly EntryDescription[]): string[] {
	const names = entries.filter(entry => entry.isReady).map(entry => entry.name);
	return rendezvousRank(targetId, names).slice(0, MAX_PACED_SENDERS);
}
