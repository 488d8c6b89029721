/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Which entry instances may send to a target while what all of them may send together is bounded: while it is cold, or names a limit.
 * Every instance could keep to a part of the bound by itself, but what instances know of each other differs after a cut or a start, and the
 * parts would add up to more than the whole. So the senders are drawn by a control instance, and stand in the target's record.
 */

import { rendezvousRank } from '../../../base/hashing.js';
import type { EntryDescription } from './fleetTypes.js';

/** Few, so that each part of the bound is a whole request; two, so that one may end. */
const PACED_SENDERS = 2;

/**
 * Draws the senders of a target.
 * @param region where the target is; senders of other regions would cross regions for it
 * @param entries the entry instances heard lately
 */
export function drawPacedSenders(targetId: string, region: string, entries: readonly EntryDescription[]): string[] {
	const names = entries.filter(entry => entry.region === region && entry.isReady).map(entry => entry.name);
	return rendezvousRank(targetId, names).slice(0, PACED_SENDERS);
}
