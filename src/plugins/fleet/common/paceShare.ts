/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** This instance's part of what all instances together may send to a target. */

import type { Millis } from '../../../base/clock.js';
import type { TargetRecord } from './fleetTypes.js';

/**
 * A sender that has not been in touch with control for this long sends no more: another one may be drawn in its place. Most cuts are
 * shorter, and it goes on by its part through them.
 */
export const PACE_LEASE_MS: Millis = 10000;

/** Tells the part, by the senders in a target's record. */
export class PaceShare {
	/**
	 * @param _name of this instance
	 * @param _viewAgeMs how long ago the view was known to be current
	 */
	constructor(
		private readonly _name: string,
		private readonly _viewAgeMs: () => Millis
	) {}

	/** From 0, for an instance that may send nothing, to 1. */
	of({ pacedSenders }: TargetRecord): number {
		const isSender = pacedSenders.includes(this._name) && this._viewAgeMs() <= PACE_LEASE_MS;
		return isSender ? 1 / pacedSenders.length : 0;
	}
}
