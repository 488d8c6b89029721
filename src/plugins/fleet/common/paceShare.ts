/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** This instance's share of a target's request rate limit. */

import type { Millis } from '../../../base/clock.js';
import type { TargetRecord } from './fleetTypes.js';

/**
 * A sender whose view is older than this stops sending, since another one may have been selected in its place. Long enough
 * that senders keep their share during most interruptions of the contact with control instances.
 */
export const PACE_LEASE_MS: Millis = 10000;

/** Computes the share from the senders in a target's record. */
export class PaceShare {
	/**
	 * @param _instanceName name of this instance
	 * @param _viewAgeMs returns how long ago the view was known to be current
	 */
	constructor(
		private readonly _instanceName: string,
		private readonly _viewAgeMs: () => Millis
	) {}

	/** The share, 0 to 1; 0 if this instance must not send. */
	fractionFor({ pacedSenders }: TargetRecord): number {
		const isSender = pacedSenders.includes(this._instanceName) && this._viewAgeMs() <= PACE_LEASE_MS;
		return isSender ? 1 / pacedSenders.length : 0;
	}
}
