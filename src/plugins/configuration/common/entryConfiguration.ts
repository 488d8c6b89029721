/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Service that gives access to the configuration of an entry instance. */

import type { Event } from '../../../base/event.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { Directory, EntryIdentity, EntryReport, RegionLoads } from '../../membership/common/entryReport.js';
import type { ConfigurationTable } from './configuration.js';

/** Fields that a feature contributes to the report of its instance. */
export type ReportPart = Partial<Omit<EntryReport, 'identity'>>;

/** Configuration of this entry instance, received from a control instance. */
export interface IEntryConfiguration {
	/** Fires after a new revision was applied. */
	readonly onDidChange: Event<ConfigurationTable>;
	/** The newest configuration; undefined until one was received. */
	readonly table: ConfigurationTable | undefined;
	/** The newest directory; undefined until one was received. */
	readonly directory: Directory | undefined;
	/** The newest loads of this region; may be outdated. */
	readonly loads: RegionLoads | undefined;
	/** Whether the configuration may be older than the one that was committed when this instance started. */
	readonly isProvisional: boolean;
	/**
	 * Whether look-ups and requests may be answered from the configuration: it is not provisional, or a provisional one is
	 * used because the minimum revision was not reached within a timeout after the start.
	 */
	readonly isUsable: boolean;
	/** Milliseconds since the control instances last had contact with a leader, as far as known here. */
	controlContactAgeMs(): number;
	readonly identity: EntryIdentity;
	/** Registers a callback whose fields are merged into each report to the control instance. */
	addReportPart(part: () => ReportPart): void;
	/** Sends a report without waiting for the next interval. */
	reportNow(): void;
	/** Opens the session with a control instance. */
	start(identity: EntryIdentity): Promise<void>;
}

/** Service identifier of the entry configuration. */
export const IEntryConfiguration = createServiceIdentifier<IEntryConfiguration>('entryConfiguration');
