/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Decides which requests get the slots of a service while there are fewer of them than its callers need. The decision comes
 * before target selection; placement applies the utilization factor that it returns.
 */

import type { Millis } from '../../../base/clock.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { Team } from '../../routes/common/routeTable.js';
import type { RequestRank } from './requestRank.js';

/** A request as admission sees it. */
export interface ShortageRequest {
	readonly service: string;
	readonly rank: RequestRank;
	/** Name of the team; undefined for none. */
	readonly teamName: string | undefined;
	/** Regions in which the request may be served; left out or empty for any. */
	readonly homeRegions?: readonly string[];
	/** The team; undefined for none. */
	readonly team?: Pick<Team, 'limit'> | undefined;
	/** On the monotonic clock. */
	readonly deadline: Millis;
	/** Attempts made so far; left out before the first. */
	readonly attempts?: readonly unknown[];
}

/** What admission decided for one attempt. */
export type ShortageDecision =
	| {
			readonly kind: 'admit';
			/** Factor on the utilization up to which targets take the request, more than 0; 1 without a shortage. */
			readonly utilizationFactor: number;
	  }
	/** Refused before any target is selected. */
	| { readonly kind: 'refuse'; readonly cause: 'rank' | 'team-share' | 'deadline' };

/** How an admitted attempt went. */
export enum ShortageOutcome {
	/** A target answered. */
	Completed = 'completed',
	/** No target below its utilization limit was found. */
	NoTarget = 'no-target',
	/** The target refused the request as full, and no other target is tried. */
	TargetFull = 'target-full',
	/** Anything else, which says nothing of the capacity at targets. */
	Other = 'other'
}

/** Admission under shortage at one instance. */
export interface IShortageAdmission {
	/** Decides on the next attempt of a request. */
	decide(request: ShortageRequest, now: Millis): ShortageDecision;
	/** Records how an attempt that was admitted went. */
	recordOutcome(request: ShortageRequest, outcome: ShortageOutcome, now: Millis): void;
}

/** Service identifier of {@link IShortageAdmission}. */
export const IShortageAdmission = createServiceIdentifier<IShortageAdmission>('shortageAdmission');

const ADMITTED: ShortageDecision = { kind: 'admit', utilizationFactor: 1 };

/** Admits all requests alike, whatever their rank and team. */
export class UnrankedAdmission implements IShortageAdmission {
	decide(): ShortageDecision {
		return ADMITTED;
	}

	recordOutcome(): void {
		// Keeps no state.
	}
}
