/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The method by which an entry instance asks another one for a place within a target's limit. */

import type { Millis } from '../../../base/clock.js';
import { defineUnary } from '../../../kernel/common/peerMethods.js';

/** Asks for one place at one life of a target. */
export interface PlaceRequest {
	readonly targetId: string;
	readonly bornAt: number;
}

/** Whether the asker may write one request to the target now. */
export interface PlaceAnswer {
	readonly isGranted: boolean;
	/** When the answerer may have a place; 0 where it gave one. */
	readonly waitMs: Millis;
}

/** Asks one of the senders of a target for a place. */
export const placeMethod = defineUnary<PlaceRequest, PlaceAnswer>('limits', 'Place');
