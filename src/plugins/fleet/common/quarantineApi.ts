/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Response format of the control instances' HTTP endpoints for quarantined requests. */

import { type LostRun, QuarantinePhase } from './quarantineTypes.js';

/** Path of the list; a single request is addressed as `/quarantine/:digest`. */
export const QUARANTINE_PATH = '/quarantine';

/** Phase names as shown to operators. */
export const QUARANTINE_PHASE_NAMES: Readonly<Record<QuarantinePhase, string>> = {
	[QuarantinePhase.Clear]: 'clear',
	[QuarantinePhase.Suspected]: 'suspected',
	[QuarantinePhase.Quarantined]: 'quarantined'
};

/** A suspected or quarantined request in the list. */
export interface QuarantineListEntry {
	readonly digest: string;
	readonly phase: string;
	/** Team of the caller; empty if the caller belongs to no team. */
	readonly team: string;
	/** Counted attempts and their targets, oldest first. */
	readonly runs: readonly LostRun[];
}

/** Response body of the list endpoint. */
export interface QuarantineList {
	readonly requests: readonly QuarantineListEntry[];
}
