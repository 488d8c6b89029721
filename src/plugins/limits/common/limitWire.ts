/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The method by which entry instances renew the credits of teams at the leader. */

import type { Millis } from '../../../base/clock.js';
import { defineUnary } from '../../../kernel/common/peerMethods.js';
import type { LeaderRequest } from '../../agreement/common/leaderGate.js';

/** What an instance says of one team. */
export interface CreditAsk {
	readonly team: string;
	/** Credits that it keeps. */
	readonly held: number;
	/** Credits that it gives back. */
	readonly returned: number;
	/** Requests that it let pass by its standing rate since the last answer. */
	readonly minted: number;
	/** How many times it got credits for requests that waited, from this leader or one before. */
	readonly needsAnswered: number;
	/** Credits that it would like to hold for what comes next. */
	readonly wanted: number;
	/** Requests a second that its callers sent lately, those that were refused included. */
	readonly perSecond: number;
}

/** What it gets. */
export interface CreditGrant {
	readonly granted: number;
	/** Requests a second that it may let pass for a while when it gets no further answer. */
	readonly standing: number;
}

/** Credits for requests of one team that wait. */
export interface CreditNeed {
	readonly team: string;
	readonly needed: number;
}

/** What they get; several needs of one instance may be on their way at once. */
export interface NeedGrant {
	readonly granted: number;
	/** When there may be a credit for what was not granted; 0 where all was. */
	readonly roomInMs: Millis;
}

/** Asks for credits that requests wait for. */
export interface NeedRequest extends LeaderRequest {
	readonly holder: string;
	readonly needs: readonly CreditNeed[];
}

/** The grants, in the order of the needs; absent where no leader could be asked. */
export interface NeedResponse {
	readonly grants?: readonly NeedGrant[];
}

/** A renewal. */
export interface RenewRequest extends LeaderRequest {
	/** Name and incarnation of the instance. */
	readonly holder: string;
	/** Grows with each renewal; one that was overtaken changes nothing. */
	readonly sequence: number;
	readonly asks: readonly CreditAsk[];
}

/** The grants, in the order of the asks; absent where no leader could be asked. */
export interface RenewResponse {
	readonly grants?: readonly CreditGrant[];
}

/** Renews the credits of an instance. */
export const renewMethod = defineUnary<RenewRequest, RenewResponse>('limits', 'Renew');
/** Asks for credits at once. */
export const needMethod = defineUnary<NeedRequest, NeedResponse>('limits', 'Need');
