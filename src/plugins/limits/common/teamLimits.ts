/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Interface to the request limits of teams. */

import type { Millis } from '../../../base/clock.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { Team } from '../../routes/common/routeTable.js';

/** Whether a request of a team may be sent. */
export enum LimitVerdict {
	Admitted = 'admitted',
	/** The team has reached its limit. */
	OverLimit = 'over-limit',
	/** No control instance could be reached, and no credits are left. */
	Unknown = 'unknown'
}

/** The verdict, and the delay after which a retry may succeed. */
export interface LimitDecision {
	readonly verdict: LimitVerdict;
	/** 0 if the request is admitted. */
	readonly retryAfterMs: Millis;
}

/** The limits of teams at one entry instance. */
export interface ITeamLimits {
	/** Decides whether one request may be sent to one target. */
	admit(team: Team): LimitDecision | Promise<LimitDecision>;
	/**
	 * Returns the credit of an admitted request that will not run.
	 * @param arrivedAt when the request arrived; its credit was taken no earlier
	 */
	giveBack(team: Team, arrivedAt: Millis): void;
}

/** Identifier of the limits of teams. */
export const ITeamLimits = createServiceIdentifier<ITeamLimits>('teamLimits');
