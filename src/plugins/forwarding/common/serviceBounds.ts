/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Bounds that the surroundings set for all instances together. */

import type { Millis } from '../../../base/clock.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { RetryBounds } from './retryAllowance.js';
import type { ShiftBounds } from './placement/sharePacer.js';

/** The bounds in force. */
export interface IServiceBounds {
	readonly retries: RetryBounds;
	readonly shifts: ShiftBounds;
	/** Time from a planned stop's signal to its forced end. */
	readonly stopGraceMs: Millis;
}

/** Identifier of the bounds. */
export const IServiceBounds = createServiceIdentifier<IServiceBounds>('serviceBounds');
