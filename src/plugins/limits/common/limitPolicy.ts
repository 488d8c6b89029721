/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The window and tolerance of team limits over all instances, and the lifetime of credits. */

import type { Millis } from '../../../base/clock.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { TeamLimit } from '../../routes/common/routeTable.js';

/** The window in which requests of a team are counted, and the tolerance beyond its limit. */
export interface ILimitPolicy {
	readonly windowMs: Millis;
	/** Fraction of the requests allowed in a window by which they may be exceeded. */
	readonly excessFraction: number;
	/** Additional requests that a window may contain. */
	readonly slackRequests: number;
}

/** Identifier of the limit policy. */
export const ILimitPolicy = createServiceIdentifier<ILimitPolicy>('limitPolicy');

/** Unspent credits expire this long after they were requested, by the clock of their holder. */
export const CREDIT_LIFETIME_MS: Millis = 2500;
/** The ledger counts unreported credits as spent this much later, to allow for clock drift and messages in transit. */
export const EXPIRY_MARGIN_MS: Millis = 500;
/**
 * Credits of requests that arrived longer ago are not returned: the window in which they were counted as spent may have passed. With the
 * delays of messages and `MAX_REPORT_GAP_MS` less than a window.
 */
export const MAX_GIVE_BACK_AGE_MS: Millis = 2000;
/** A holder accepts returned credits for this long after it granted them, which allows for the delays of both calls. */
export const MAX_RETURN_AGE_MS: Millis = MAX_GIVE_BACK_AGE_MS + 1000;
/** The ledger ignores credits that were given back if the holder's report before is older; they may have been spent long ago. */
export const MAX_REPORT_GAP_MS: Millis = 1000;
/** Only this fraction of the allowed requests is admitted, since requests may reach targets closer together than they were admitted. */
const ADMITTED_FRACTION = 0.92;

/** Maximum number of requests of a team that may be admitted in a window. */
export function maxRequestsPerWindow(
	{ perSecond, burst }: TeamLimit,
	{ windowMs, excessFraction: excess, slackRequests: slack }: ILimitPolicy
): number {
	const allowed = (perSecond * windowMs) / 1000 + burst;
	return Math.floor(ADMITTED_FRACTION * (allowed * (1 + excess) + slack));
}

/** How long requests admitted by credits of earlier leaders count after a new leader has started. */
export function settlementMs({ windowMs }: ILimitPolicy): Millis {
	return windowMs + CREDIT_LIFETIME_MS + EXPIRY_MARGIN_MS;
}
