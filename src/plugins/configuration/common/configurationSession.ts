/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Peer methods through which entry instances receive the configuration. */

import { defineStream, defineUnary } from '../../../kernel/common/peerMethods.js';
import type { Directory, DirectoryDelta, EntryReport, RegionLoads } from '../../membership/common/entryReport.js';
import type { ConfigurationDelta, ConfigurationSnapshot, Revision } from './configuration.js';

/** Message of an entry instance: sent when the session opens, at intervals, and when its state changes. */
export interface SessionReport {
	/** Revision the entry instance has; the control instance sends the changes after it. */
	readonly revision: Revision;
	readonly report: EntryReport;
}

/** Message of a control instance: the changes since its previous message; without changes it is a heartbeat. */
export interface SessionUpdate {
	/** Milliseconds since the control instance last was, or heard from, a leader with a valid lease. */
	readonly leaderContactAgeMs: number;
	readonly revision: Revision;
	readonly snapshot?: ConfigurationSnapshot;
	readonly deltas?: readonly ConfigurationDelta[];
	/** The complete directory, in the first update that has one. */
	readonly directory?: Directory;
	/** Changes of the directory since the previous update. */
	readonly directoryDelta?: DirectoryDelta;
	/** Loads of the entry instance's own region. */
	readonly loads?: RegionLoads;
}

/** Request for the current revision of a control instance, or for the snapshot of an entry instance. */
export interface RevisionRequest {
	readonly instance: string;
}

/** Current revision of a control instance. */
export interface RevisionResponse {
	readonly revision: Revision;
	/** Whether the leader answered under a valid lease, so that the revision is at least as new as every committed one. */
	readonly isAuthoritative: boolean;
}

/** Stream of reports from an entry instance and of updates from a control instance. */
export const sessionMethod = defineStream<SessionReport, SessionUpdate>('configuration', 'Session');
/** Returns the current revision of a control instance. */
export const revisionMethod = defineUnary<RevisionRequest, RevisionResponse>('configuration', 'Revision');
/** Returns the configuration of an entry instance of the same data hall. */
export const hallSnapshotMethod = defineUnary<RevisionRequest, ConfigurationSnapshot>('configuration', 'HallSnapshot');
