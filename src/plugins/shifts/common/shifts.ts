/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Service that carries out confirmed plans. */

import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';

/** A decision about a plan, recorded for `/v1/explain`. */
export interface ShiftDecision {
	/** Time in ISO 8601 format. */
	readonly at: string;
	readonly planId: string;
	readonly decision: string;
}

/** Advances confirmed plans while this instance is the leader. */
export interface IShifts {
	/** Advances the plans without waiting for the next interval. */
	advance(): Promise<void>;
	/** The latest decisions of this instance, oldest first. */
	readonly decisions: readonly ShiftDecision[];
}

/** Service identifier of the shifts. */
export const IShifts = createServiceIdentifier<IShifts>('shifts');
