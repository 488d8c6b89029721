/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Limits that the platform imposes on all instances together. */

import type { Millis } from '../../../base/clock.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { RetryLimits } from './serviceRetryBudget.js';
import type { ShiftBounds } from '../../placement/common/sharePacer.js';

/** Limits of the platform. */
export interface IServiceBounds {
	readonly retries: RetryLimits;
	readonly shifts: ShiftBounds;
	/** Time from the signal of a planned shutdown until the process is killed. */
	readonly stopGraceMs: Millis;
}

/** Service identifier of the platform limits. */
export const IServiceBounds = createServiceIdentifier<IServiceBounds>('serviceBounds');
