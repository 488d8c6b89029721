/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which entry instances a caller is told to use. */

import type { EntryDescription } from './fleetTypes.js';

/**
 * The ready entry instances of the caller's region; where there are none, those of every region.
 * @param entries the instances that were heard lately
 */
export function entriesFor(entries: readonly EntryDescription[], region: string): EntryDescription[] {
	const ready = entries.filter(entry => entry.isReady);
	const near = ready.filter(entry => entry.region === region);
	return near.length > 0 ? near : ready;
}
