/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Peer methods by which entry instances take team credits from control instances, and control instances renew them at the leader. */

import type { Millis } from '../../../base/clock.js';
import { defineUnary } from '../../../kernel/common/peerMethods.js';

/** A holder's totals of one team's credits since its start, and the credits that it requests. */
export interface CreditReport {
	readonly team: string;
	/** Credits that it received. */
	readonly received: number;
	/** Credits that were spent on requests. */
	readonly spent: number;
	/** Credits that expired or were returned unused. */
	readonly returned: number;
	/** The part of `returned` that was spent first, on requests that did not run; absent if the holder does not count it. */
	readonly givenBack?: number;
	/** Requests that wait for a credit. */
	readonly needed: number;
	/** Credits for expected requests, granted as far as there is capacity. */
	readonly ahead: number;
}

/** Why a waiting request got no credit. */
export enum CreditShortage {
	/** The team has reached its limit. */
	Limit = 'limit',
	/** The leader's ceiling, or credits of earlier leaders, leave none now. */
	Ceiling = 'ceiling'
}

/** The leader's response to a report. */
export interface CreditGrant {
	readonly granted: number;
	/** Time until there may be credits for requests that got none; 0 if none is waiting, or if the team is within its limit. */
	readonly roomInMs: Millis;
	/** Absent if all waiting requests got a credit. */
	readonly shortage?: CreditShortage;
}

/** Reports on credits and requests more. A holder may have several such calls in flight. */
export interface RenewRequest {
	/** Id of the holder; a new one after each start of the control instance. */
	readonly holder: string;
	/** Increases with each call; a report that arrives after a later one on the same team, or twice, is ignored. */
	readonly sequence: number;
	readonly reports: readonly CreditReport[];
}

/** The grants, in the order of the reports; absent if the responding instance is not the leader. */
export interface RenewResponse {
	readonly grants?: readonly CreditGrant[];
}

/** The grant of a holder that credits come from. */
export interface CreditSource {
	readonly holder: string;
	/** When they were taken, by the monotonic clock of the holder. */
	readonly takenAt: Millis;
}

/** Takes credits of a team for requests at an entry instance. */
export interface TakeRequest {
	readonly team: string;
	/** Requests that wait for a credit. */
	readonly needed: number;
	/** Credits that were taken before and not spent; sent once, whether or not there is a response. */
	readonly returned: number;
	/** Oldest grant that they come from; they are accepted only by its holder, and only for some time. */
	readonly returnedFrom?: CreditSource;
}

/** Response of a control instance, received directly or through an entry instance. */
export interface TakeResponse {
	readonly granted: number;
	/** Time until there may be credits for requests that got none; 0 if unknown because the leader could not be reached. */
	readonly retryAfterMs: Millis;
	/** Absent if no credits were granted. */
	readonly source?: CreditSource;
}

/** Takes credits from a control instance, or through another entry instance of the same data hall. */
export const takeMethod = defineUnary<TakeRequest, TakeResponse>('limits', 'Take');
/** Renews the credits of a control instance at the leader. */
export const renewMethod = defineUnary<RenewRequest, RenewResponse>('limits', 'Renew');
