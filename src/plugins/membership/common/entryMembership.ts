/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Service interface for the entry instances known to a control instance. */

import type { Event } from '../../../base/event.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { RegisteredEntry } from './entryRegistry.js';
import type { Directory, EntryReport, RegionLoads } from './entryReport.js';

/** The entry instances known to this control instance; only the leader receives the reports of all of them. */
export interface IEntryMembership {
	/** Fires after each report that reached this instance, directly or through another control instance. */
	readonly onDidReport: Event<EntryReport>;
	/** Fires when a newer directory is made or received. */
	readonly onDidChangeDirectory: Event<Directory>;
	/** The newest directory known here. */
	readonly directory: Directory | undefined;
	/** The newest loads known here, by region. */
	readonly loads: readonly RegionLoads[];
	/** Records a report received over a session with this control instance, and forwards it to the leader. */
	addReport(report: EntryReport): void;
	/** Instances whose last report is within the timeout, by name. */
	live(): RegisteredEntry[];
	/** Instances whose last report is older than the timeout but within the retention period, by name. */
	silent(): RegisteredEntry[];
	/** Milliseconds since this instance last was, or had contact with, a leader that holds a lease. */
	leaderContactAge(): number;
}

/** Service identifier of the entry membership. */
export const IEntryMembership = createServiceIdentifier<IEntryMembership>('entryMembership');
