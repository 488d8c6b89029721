/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The methods by which entry instances take credits of teams at control, and control instances get them from the leader. */

import type { Millis } from '../../../base/clock.js';
import { defineUnary } from '../../../kernel/common/peerMethods.js';

/** What a holder says of the credits that it got of one team since its start, and what it needs. */
export interface CreditReport {
	readonly team: string;
	/** Credits that it got. */
	readonly received: number;
	/** Credits that requests used. */
	readonly spent: number;
	/** Credits that lapsed, or that it gives back. */
	readonly returned: number;
	/** Requests that wait for a credit. */
	readonly needed: number;
	/** Credits that it would like to get for what comes next, which are given as far as there is room. */
	readonly ahead: number;
}

/** What it gets. */
export interface CreditGrant {
	readonly granted: number;
	/** When there may be a credit for requests that got none; 0 where none waits. */
	readonly roomInMs: Millis;
}

/** Says what became of credits, and asks for more; several such calls of one holder may be under way at once. */
export interface RenewRequest {
	/** Another one after each start of the control instance. */
	readonly holder: string;
	/** Grows with each call; what one says of credits that was overtaken does not count. */
	readonly sequence: number;
	readonly reports: readonly CreditReport[];
}

/** The grants, in the order of the reports; absent where the answerer does not lead. */
export interface RenewResponse {
	readonly grants?: readonly CreditGrant[];
}

/** Takes credits of a team for requests at an entry instance. */
export interface TakeRequest {
	readonly team: string;
	/** Requests that wait for a credit. */
	readonly needed: number;
	/** Credits that were taken before and not used. */
	readonly returned: number;
}

/** What the control instance gives, itself or through an entry instance. */
export interface TakeResponse {
	readonly granted: number;
	/** When there may be a credit for what was not granted; 0 where that is not known, since the leader could not be asked. */
	readonly retryAfterMs: Millis;
}

/** Takes credits from a control instance, or has an entry instance of the same data hall take them. */
export const takeMethod = defineUnary<TakeRequest, TakeResponse>('limits', 'Take');
/** Renews the credits of a control instance. */
export const renewMethod = defineUnary<RenewRequest, RenewResponse>('limits', 'Renew');
