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
	return draw(
		targetId,
		entries.filter(entry => entry.region === region)
	);
}

/** Draws senders from all regions, for a target that would have none: its region has no entry instances, or is not known. */
export function drawSendersAnywhere(targetId: string, entries: readonly EntryDescription[]): string[] {
	return draw(targetId, entries);
}

function draw(targetId: string, entries: readonly EntryDescription[]): string[] {
	const names = entries.filter(entry => entry.isReady).map(entry => entry.name);
	return rendezvousRank(targetId, names).slice(0, PACED_SENDERS);
}
