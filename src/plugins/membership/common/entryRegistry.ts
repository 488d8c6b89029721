/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Latest report of each entry instance and its time. Callers pass the current time. */

import type { Millis } from '../../../base/clock.js';
import type { Directory, DirectoryEntry, EntryReport, RegionLoads } from './entryReport.js';

/** One entry instance with its last report. */
export interface RegisteredEntry {
	readonly report: EntryReport;
	readonly lastReportAt: Millis;
	/** Stays the same object while the entry is unchanged, so that directories can be compared by reference. */
	readonly directoryEntry: DirectoryEntry;
}

/** Registry of the entry instances by name. */
export class EntryRegistry {
	private readonly _entries = new Map<string, RegisteredEntry>();

	/**
	 * @param _timeoutMs an instance without a report for this long counts as overdue
	 * @param _retentionMs an instance without a report for this long is removed
	 */
	constructor(
		private readonly _timeoutMs: Millis,
		private readonly _retentionMs: Millis
	) {}

	/** Records a report, unless a later one is recorded already. */
	record(report: EntryReport, now: Millis): void {
		const entry = this._entries.get(report.identity.instance);
		if (!entry || now >= entry.lastReportAt) {
			const directoryEntry =
				entry && isSameEntry(entry.directoryEntry, report) ? entry.directoryEntry : toDirectoryEntry(report);
			this._entries.set(report.identity.instance, { report, lastReportAt: now, directoryEntry });
		}
	}

	/** Instances whose last report is within the timeout. */
	live(now: Millis): RegisteredEntry[] {
		return this._filterByAge(now, age => age < this._timeoutMs);
	}

	/** Instances whose last report is older than the timeout but within the retention period. */
	silent(now: Millis): RegisteredEntry[] {
		return this._filterByAge(now, age => age >= this._timeoutMs && age < this._retentionMs);
	}

	/** Removes instances whose last report is older than the retention period. */
	evictExpired(now: Millis): void {
		for (const [instance, entry] of this._entries) {
			if (now - entry.lastReportAt >= this._retentionMs) {
				this._entries.delete(instance);
			}
		}
	}

	/** The directory entries of the live instances, by name. */
	directoryEntries(now: Millis): DirectoryEntry[] {
		return this.live(now).map(entry => entry.directoryEntry);
	}

	/** The loads of the live instances, by region. */
	loads(now: Millis): RegionLoads[] {
		const columns = new Map<string, Map<string, LoadColumns>>();
		for (const { report } of this.live(now)) {
			const { region, instance } = report.identity;
			const services = columns.get(region) ?? new Map<string, LoadColumns>();
			columns.set(region, services);
			for (const { service, slots, used } of report.capacity) {
				const column = services.get(service) ?? { instances: [], slots: [], used: [] };
				services.set(service, column);
				column.instances.push(instance);
				column.slots.push(slots);
				column.used.push(used);
			}
		}
		return [...columns].map(([region, services]) => ({
			region,
			services: [...services].map(([service, column]) => ({ service, ...column }))
		}));
	}

	private _filterByAge(now: Millis, accept: (age: Millis) => boolean): RegisteredEntry[] {
		const found = [...this._entries.values()].filter(entry => accept(now - entry.lastReportAt));
		return found.sort((a, b) => (a.report.identity.instance < b.report.identity.instance ? -1 : 1));
	}
}

/** Whether a directory holds the same entry objects in the same order. */
export function hasSameEntries(directory: Directory, entries: readonly DirectoryEntry[]): boolean {
	return directory.entries.length === entries.length && entries.every((entry, i) => entry === directory.entries[i]);
}

interface LoadColumns {
	readonly instances: string[];
	readonly slots: number[];
	readonly used: number[];
}

function toDirectoryEntry(report: EntryReport): DirectoryEntry {
	return { identity: report.identity, leaving: report.leaving };
}

function isSameEntry(entry: DirectoryEntry, report: EntryReport): boolean {
	const { instance, url, peerAddress, incarnation } = report.identity;
	const { identity } = entry;
	return (
		entry.leaving === report.leaving &&
		identity.instance === instance &&
		identity.url === url &&
		identity.peerAddress === peerAddress &&
		identity.incarnation === incarnation
	);
}
