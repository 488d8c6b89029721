/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What control works out of the entry instances it hears: whom to name, and what their callers need. */

import type { Millis } from '../../../base/clock.js';
import type { EntryDescription } from './fleetTypes.js';
import type { RegionDemand } from './fleetWire.js';

/** A region with less than this part of the instances that a region has on average would drown under its own callers. */
const LEAST_PART_OF_MEAN = 0.25;

/**
 * The ready entry instances of the caller's region; where they are too few, those of every region.
 * @param entries the instances that were heard lately
 */
export function entriesFor(entries: readonly EntryDescription[], region: string): EntryDescription[] {
	const ready = entries.filter(entry => entry.isReady);
	const near = ready.filter(entry => entry.region === region);
	const regionCount = new Set(ready.map(entry => entry.region)).size;
	const isEnough = near.length > 0 && near.length * regionCount >= LEAST_PART_OF_MEAN * ready.length;
	return isEnough ? near : ready;
}

/**
 * What an instance names that has just started: whom it has heard, and whom it knew before and has not heard yet.
 * @param heard the instances that were heard since the start
 * @param remembered the instances that were known before it
 */
export function withRemembered(
	heard: readonly EntryDescription[],
	remembered: readonly EntryDescription[]
): EntryDescription[] {
	const isHeard = new Set(heard.map(entry => entry.name));
	return [...heard, ...remembered.filter(entry => !isHeard.has(entry.name))];
}

/**
 * How long a control instance without a memory of its own waits, from its start, to have heard all entry instances. Callers
 * that get no answer keep the one they had. When all control instances come back from a loss of power at once, the first few
 * entry instances that happen to speak would get all callers of their regions.
 */
const FIRST_HEARING_MS = 3000;

/**
 * Whether look-ups are to be answered by one that has not heard all since its start.
 * @param remembered the instances that were known before it
 * @param sinceStartMs how long ago it started
 */
export function mayNameHeard(remembered: readonly EntryDescription[], sinceStartMs: Millis): boolean {
	return remembered.length > 0 || sinceStartMs > FIRST_HEARING_MS;
}

/** Slots needed by the callers of each region: the sum over its entry instances. */
export function sumDemand(entries: readonly EntryDescription[]): RegionDemand {
	const sums: Record<string, Record<string, number>> = {};
	for (const entry of entries) {
		for (const [service, slots] of Object.entries(entry.demand)) {
			const byRegion = (sums[service] ??= {});
			byRegion[entry.region] = (byRegion[entry.region] ?? 0) + slots;
		}
	}
	return sums;
}
