/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Peer method by which an entry instance requests a permit within a target's limit from another one. */

import type { Millis } from '../../../base/clock.js';
import { defineUnary } from '../../../kernel/common/peerMethods.js';

/** Requests one permit for one incarnation of a target. */
export interface PermitRequest {
	readonly targetId: string;
	readonly bornAt: number;
}

/** Whether the requesting instance may send one request to the target now. */
export interface PermitResponse {
	readonly isGranted: boolean;
	/** Time until the responding instance may have a permit; 0 if it granted one. */
	readonly waitMs: Millis;
}

/** Requests a permit from one of the senders of a target. */
export const permitMethod = defineUnary<PermitRequest, PermitResponse>('limits', 'Permit');
