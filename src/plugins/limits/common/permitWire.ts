/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The method by which an entry instance asks another one for a permit within a target's limit. */

import type { Millis } from '../../../base/clock.js';
import { defineUnary } from '../../../kernel/common/peerMethods.js';

/** Asks for one permit at one life of a target. */
export interface PermitRequest {
	readonly targetId: string;
	readonly bornAt: number;
}

/** Whether the asker may write one request to the target now. */
export interface PermitAnswer {
	readonly isGranted: boolean;
	/** When the answerer may have a permit; 0 where it gave one. */
	readonly waitMs: Millis;
}

/** Asks one of the senders of a target for a permit. */
export const permitMethod = defineUnary<PermitRequest, PermitAnswer>('limits', 'Permit');
