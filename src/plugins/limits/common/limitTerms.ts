/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How the sum of a team's requests over all instances is judged, and the times by which holders and leader agree on it. */

import type { Millis } from '../../../base/clock.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { TeamLimit } from '../../routes/common/routeTable.js';

/** What a window may hold. */
export interface ILimitTerms {
	readonly windowMs: Millis;
	/** Part of what the limit allows in a window that may come beyond it. */
	readonly excess: number;
	/** Requests that may come beyond that. */
	readonly slack: number;
}

/** Identifier of the terms. */
export const ILimitTerms = createServiceIdentifier<ILimitTerms>('limitTerms');

/** Credits that were not spent this long after they were asked for are void, by their holder's clock. */
export const CREDIT_LIFE_MS: Millis = 2500;
/** The ledger takes credits as spent this much later: a clock runs a little slower, an answer was on its way. */
export const LAPSE_MARGIN_MS: Millis = 500;
/** Part of what a window may hold that is used: requests that were let through apart may reach targets closer together. */
const USED_PART = 0.92;

/** The most requests of a team that may be let through in a window. */
export function mostInWindow({ perSecond, burst }: TeamLimit, { windowMs, excess, slack }: ILimitTerms): number {
	const allowed = (perSecond * windowMs) / 1000 + burst;
	return Math.floor(USED_PART * (allowed * (1 + excess) + slack));
}

/** How long requests count that were let through by credits of a leader before, from the beginning of the next one. */
export function settleMs({ windowMs }: ILimitTerms): Millis {
	return windowMs + CREDIT_LIFE_MS + LAPSE_MARGIN_MS;
}
