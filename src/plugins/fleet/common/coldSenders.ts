/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Which entry instances may send to a target while it is cold. Every instance could keep to a part of the target's pace by
 * itself, but what instances know of each other differs after a cut or a start, and the parts would add up to more than the
 * whole. So the senders are drawn once, by the control instance that first hears the target, and stand in its record.
 */

import { rendezvousRank } from '../../../base/hashing.js';
import type { EntryDescription } from './fleetTypes.js';

/** Few, so that each part of the pace is a whole request; two, so that one may end. */
const COLD_SENDERS = 2;

/**
 * Draws the senders of a new target.
 * @param region where the target is; senders of other regions would cross regions for it
 * @param entries the entry instances heard lately
 */
export function drawColdSenders(targetId: string, region: string, entries: readonly EntryDescription[]): string[] {
	const names = entries.filter(entry => entry.region === region && entry.isReady).map(entry => entry.name);
	return rendezvousRank(targetId, names).slice(0, COLD_SENDERS);
}
