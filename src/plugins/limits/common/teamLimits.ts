/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What the part that carries requests sees of the limits of teams. */

import type { Millis } from '../../../base/clock.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { Team } from '../../routes/common/routeTable.js';

/** Whether a request of a team may be sent. */
export enum LimitVerdict {
	Admitted = 'admitted',
	/** The team has used up its limit. */
	OverLimit = 'over-limit',
	/** Nobody could be asked, and nothing is left of what was given before. */
	Unknown = 'unknown'
}

/** The verdict, and when asking again may help. */
export interface LimitAnswer {
	readonly verdict: LimitVerdict;
	/** 0 for a request that is admitted. */
	readonly retryAfterMs: Millis;
}

/** The limits of teams at one entry instance. */
export interface ITeamLimits {
	/** Asks for leave to send one request to one target. */
	admit(team: Team): LimitAnswer | Promise<LimitAnswer>;
	/** A request that was admitted has not run and never will. */
	giveBack(team: Team): void;
}

/** Identifier of the limits. */
export const ITeamLimits = createServiceIdentifier<ITeamLimits>('teamLimits');
