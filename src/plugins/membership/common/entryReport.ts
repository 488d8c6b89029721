/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Reports of entry instances, and the directory that the leader builds from them. */

import type { Revision } from '../../configuration/common/configuration.js';

/** Name, location and addresses of an entry instance. */
export interface EntryIdentity {
	readonly instance: string;
	readonly hall: string;
	readonly region: string;
	/** URL for callers. */
	readonly url: string;
	/** Address for entry and control instances. */
	readonly peerAddress: string;
	/** Changes with every start of the process. */
	readonly incarnation: string;
}

/** Capacity of a service at the targets of an entry instance. */
export interface CapacityReport {
	readonly service: string;
	/** Slots of the targets that this instance owns and that accept requests. */
	readonly slots: number;
	/** Slots in use now. */
	readonly used: number;
}

/** Demand of one group for one service at an instance. */
export interface DemandReport {
	readonly service: string;
	readonly group: string;
	/** Mean number of slots in use over the last report interval. */
	readonly used: number;
	/** Requests queued now. */
	readonly queued: number;
}

/** State of an entry instance. */
export interface EntryReport {
	readonly identity: EntryIdentity;
	/** Latest revision that is fully applied here, with all paced placements completed. */
	readonly revisionInForce: Revision;
	/** Whether the configuration may be older than the one that control had accepted when the instance started. */
	readonly provisional: boolean;
	/** Whether the instance is shutting down. */
	readonly leaving: boolean;
	readonly capacity: readonly CapacityReport[];
	readonly demand: readonly DemandReport[];
	/** Responses of targets with status 500 and above in the last report interval. */
	readonly failures: number;
	/** All responses of targets in the last report interval. */
	readonly answers: number;
}

/** One entry instance in the directory; holds no load figures, so that it changes rarely. */
export interface DirectoryEntry {
	readonly identity: EntryIdentity;
	readonly leaving: boolean;
}

/** Slots of one service by instance of a region; parallel arrays keep the message small. */
export interface ServiceLoads {
	readonly service: string;
	readonly instances: readonly string[];
	readonly slots: readonly number[];
	readonly used: readonly number[];
}

/** Loads of one region as last received; they may be out of date. */
export interface RegionLoads {
	readonly region: string;
	readonly services: readonly ServiceLoads[];
}

/** The entry instances known to a leader; a newer directory replaces an older one. */
export interface Directory {
	/** Term of the leader that built it. */
	readonly term: number;
	/** Increases within a term. */
	readonly version: number;
	readonly entries: readonly DirectoryEntry[];
}

/** Compares by term, then by version. */
export function isNewerDirectory(candidate: Directory, current: Directory | undefined): boolean {
	if (!current) {
		return true;
	}
	return candidate.term > current.term || (candidate.term === current.term && candidate.version > current.version);
}

/** Changes from one directory to a newer one. */
export interface DirectoryDelta {
	readonly term: number;
	readonly version: number;
	readonly changed: readonly DirectoryEntry[];
	readonly removed: readonly string[];
}

/** Returns the changes between two directories; unchanged entries must be the same objects in both. */
export function diffDirectories(previous: Directory, next: Directory): DirectoryDelta {
	const previousEntries = new Set(previous.entries);
	const names = new Set(next.entries.map(entry => entry.identity.instance));
	return {
		term: next.term,
		version: next.version,
		changed: next.entries.filter(entry => !previousEntries.has(entry)),
		removed: previous.entries.map(entry => entry.identity.instance).filter(name => !names.has(name))
	};
}

/** Applies a delta, which must have been made against this directory; nothing is checked. */
export function applyDirectoryDelta(previous: Directory, delta: DirectoryDelta): Directory {
	const replaced = new Set([...delta.removed, ...delta.changed.map(entry => entry.identity.instance)]);
	const kept = previous.entries.filter(entry => !replaced.has(entry.identity.instance));
	const entries = [...kept, ...delta.changed].sort((a, b) => (a.identity.instance < b.identity.instance ? -1 : 1));
	return { term: delta.term, version: delta.version, entries };
}
