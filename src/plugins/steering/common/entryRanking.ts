/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Ranks the entry instances for a client. */

import { hash32, rendezvousRank } from '../../../base/hashing.js';
import { BUCKET_COUNT, type ConfigurationTable, DrainScope } from '../../configuration/common/configuration.js';
import type { DirectoryEntry } from '../../membership/common/entryReport.js';

/** Client and preferences by which instances are ranked. */
export interface RankingCriteria {
	readonly service: string;
	readonly group: string;
	/** Key that identifies the client, such as its address block. */
	readonly clientKey: string;
	/** Region to which the placement of the group assigns the client. */
	readonly region: string;
	/** Data hall that takes precedence over the region; set when the instance has no contact to control. */
	readonly preferredHall?: string;
}

/** An entry instance in a look-up result. */
export interface RankedEntry {
	readonly instance: string;
	readonly hall: string;
	readonly region: string;
	readonly url: string;
}

/** Returns the bucket of a client within its group, 0 to `BUCKET_COUNT` - 1. */
export function bucketOf(group: string, clientKey: string): number {
	return hash32(`${group}|${clientKey}`) % BUCKET_COUNT;
}

/** Whether an instance accepts new requests: neither it, its data hall nor its region is being drained. */
export function isAvailable(entry: DirectoryEntry, table: ConfigurationTable): boolean {
	const { instance, hall, region } = entry.identity;
	return !(
		entry.leaving ||
		table.isDrained(DrainScope.Instance, instance) ||
		table.isDrained(DrainScope.Hall, hall) ||
		table.isDrained(DrainScope.Region, region)
	);
}

/** Returns the available instances, best first: preferred data hall, then region, then rendezvous hash of the client key. */
export function rankEntries(
	criteria: RankingCriteria,
	entries: readonly DirectoryEntry[],
	table: ConfigurationTable
): RankedEntry[] {
	const available = entries.filter(entry => isAvailable(entry, table));
	const clientOrder = rendezvousRank(
		criteria.clientKey,
		available.map(entry => entry.identity.instance)
	);
	const score = (entry: DirectoryEntry): number => {
		const { hall, region, instance } = entry.identity;
		const isPreferredHall = criteria.preferredHall === undefined || criteria.preferredHall === hall;
		const preferences = [isPreferredHall, region === criteria.region];
		const rank = preferences.reduce((sum, isMet) => sum * 2 + (isMet ? 0 : 1), 0);
		return rank * available.length + clientOrder.indexOf(instance);
	};
	return [...available]
		.sort((a, b) => score(a) - score(b))
		.map(({ identity }) => ({
			instance: identity.instance,
			hall: identity.hall,
			region: identity.region,
			url: identity.url
		}));
}
