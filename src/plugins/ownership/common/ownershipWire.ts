/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Peer methods for the ownership of targets. */

import { defineUnary } from '../../../kernel/common/peerMethods.js';
import type { TargetOwnership } from './takeoverState.js';

/** Renews the lease of an entry instance at control, and requests or ends a takeover. */
export interface RenewRequest {
	readonly instance: string;
	/** The sibling whose targets the instance requests to take over. */
	readonly takeOver?: string;
	/** The sibling whose targets the instance returns; `takeOver` is then ignored. */
	readonly giveBack?: string;
	/** Version of the sibling's ownership in the last response of the leader; 0 before the first. */
	readonly base?: number;
	/** Set when a control instance forwards the request to the leader. */
	readonly isForwarded?: boolean;
}

/** The response of the leader to a renewal. */
export interface RenewResponse {
	readonly isRenewed: boolean;
	/** Whether the requested takeover, or its end, is committed to the replicated log. */
	readonly isRecorded: boolean;
	/** Ownerships of all instances whose targets were taken over at some time; absent if this instance is not the leader. */
	readonly ownerships?: Readonly<Record<string, TargetOwnership>>;
}

/** Asks a sibling to promise not to take over the targets of the instance. */
export interface PromiseRequest {
	readonly instance: string;
}

/** The response of a sibling to a promise request. */
export interface PromiseResponse {
	readonly isPromised: boolean;
}

/** Renews a lease; called by entry instances, answered by the leader. */
export const renewMethod = defineUnary<RenewRequest, RenewResponse>('ownership', 'Renew');
/** Requests the promise of a sibling not to take over. */
export const promiseMethod = defineUnary<PromiseRequest, PromiseResponse>('ownership', 'Promise');
