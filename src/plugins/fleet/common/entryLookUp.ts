/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Answers to callers' look-ups of entry instances, and the demand of callers by region. */

import type { Millis } from '../../../base/clock.js';
import { ownValue } from '../../../base/records.js';
import type { EntryDescription } from './fleetTypes.js';
import type { RegionDemand } from './fleetWire.js';

/** A region with less than this fraction of the mean number of ready instances per region is too small to serve its own callers. */
const MIN_FRACTION_OF_MEAN = 0.25;

/**
 * The ready entry instances of the caller's region, or those of all regions if the region has too few. Instances that are
 * partitioned from all targets are left out as long as there are others.
 * @param entries live entry instances
 */
export function selectEntries(entries: readonly EntryDescription[], region: string): EntryDescription[] {
	const ready = entries.filter(entry => entry.isReady);
	const inRegion = ready.filter(entry => entry.region === region);
	const regionCount = new Set(ready.map(entry => entry.region)).size;
	const isEnough = inRegion.length > 0 && inRegion.length * regionCount >= MIN_FRACTION_OF_MEAN * ready.length;
	return preferConnected(isEnough ? inRegion : ready);
}

/** Those that reach targets; all of them where none does, since they may still relay requests. */
function preferConnected(entries: EntryDescription[]): EntryDescription[] {
	const connected = entries.filter(entry => entry.isPartitioned !== true);
	return connected.length > 0 ? connected : entries;
}

/**
 * Entry instances to return from a control instance that has just started: those that have reported, and the remembered ones
 * that have not reported yet.
 * @param reported instances that have reported since the start
 * @param remembered instances that were known before the start
 */
export function mergeRemembered(
	reported: readonly EntryDescription[],
	remembered: readonly EntryDescription[]
): EntryDescription[] {
	const reportedNames = new Set(reported.map(entry => entry.name));
	return [...reported, ...remembered.filter(entry => !reportedNames.has(entry.name))];
}

/**
 * How long after its start a control instance that remembers no entry instances waits for their reports. Answering earlier,
 * for instance after a power loss, would send all callers to the first few entry instances that report. Callers without an
 * answer keep their previous one.
 */
const STARTUP_WAIT_MS = 3000;

/**
 * Whether a control instance whose observations are not complete since its start may answer look-ups.
 * @param remembered instances that were known before the start
 */
export function canAnswerLookUps(remembered: readonly EntryDescription[], uptimeMs: Millis): boolean {
	return remembered.length > 0 || uptimeMs > STARTUP_WAIT_MS;
}

/** Slots needed by the callers of each region, summed over its entry instances. */
export function sumDemandByRegion(entries: readonly EntryDescription[]): RegionDemand {
	const sums: Record<string, Record<string, number>> = {};
	for (const entry of entries) {
		for (const [service, slots] of Object.entries(entry.demand)) {
			const byRegion = ownValue(sums, service) ?? {};
			sums[service] = byRegion;
			byRegion[entry.region] = (ownValue(byRegion, entry.region) ?? 0) + slots;
		}
	}
	return sums;
}
