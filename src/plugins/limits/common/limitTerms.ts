/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How the sum of a team's requests over all instances is judged, and the times by which instances and leader agree on it. */

import type { Millis } from '../../../base/clock.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { TeamLimit } from '../../routes/common/routeTable.js';

/** What a window may hold beyond the rate and the burst of a limit. */
export interface ILimitTerms {
	readonly windowMs: Millis;
	/** Part of what the limit allows in a window. */
	readonly excess: number;
	/** Requests. */
	readonly slack: number;
}

/** Identifier of the terms. */
export const ILimitTerms = createServiceIdentifier<ILimitTerms>('limitTerms');

/** Credits that their holder has not renewed for this long are void, by its own clock. */
export const CREDIT_LIFE_MS: Millis = 3000;
/** The ledger takes credits back this much later: a clock runs a little slower, a renewal was on its way. */
export const LAPSE_MARGIN_MS: Millis = 500;
/** Who has had no answer for this long goes on by its standing rate. */
export const SILENCE_MS: Millis = 1500;
/** The ledger reserves a silent holder's standing rate from here on: a renewal may have been on its way for the difference. */
export const RESERVE_AFTER_MS: Millis = 1000;
/** How long a standing rate holds without an answer; about as long as an instance that is cut off is still asked by callers. */
export const STANDING_MS: Millis = 5000;
/**
 * Part of a limit's rate that all standing rates together may have. A new leader gives out the rest at once, since holders
 * that it has not heard may go on by theirs; teams that send what they were expected to use about 0.6 of their rate.
 */
export const STANDING_PART = 0.4;
/** Part of what a window may hold beyond its rate that is used: requests sent apart may arrive closer together. */
const USED_PART = 0.9;

/** The most credits that one leader's ledger may have at hand and out: half, since those of a leader before may still be out. */
export function creditCapacity(limit: TeamLimit, { windowMs, excess, slack }: ILimitTerms): number {
	const perWindow = (limit.perSecond * windowMs) / 1000;
	return (USED_PART * (excess * perWindow + (1 + excess) * limit.burst + slack)) / 2;
}
