/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * How the requests that run divide among regions: by their shares, less what overloaded regions reject. The shift bounds hold
 * for these requests, so shares may not move while rejections that begin or end have already moved them.
 */

import type { Millis } from '../../../base/clock.js';
import { movedFraction, type RegionShares, totalShare } from './regionShares.js';

/** Fraction of the shift bound up to which shares and rejections together may move requests. */
const SHIFT_BUDGET_FRACTION = 0.75;

/** Fraction of its requests that each overloaded region rejects, 0 to 1. */
type RejectionRates = ReadonlyMap<string, number>;

interface Sample {
	readonly at: Millis;
	readonly mix: RegionShares;
}

/** The division of one route's running requests over the last window. */
export class RunningMix {
	/** Oldest first; the first one may be older than a window. */
	private readonly _samples: Sample[] = [];

	/**
	 * @param _maxMovedFraction the shift bound, 0 to 1
	 * @param _windowMs window of the shift bound
	 */
	constructor(
		private readonly _maxMovedFraction: number,
		private readonly _windowMs: Millis
	) {}

	/** Records the shares after they have moved, and the fraction of its requests that each overloaded region rejects. */
	record(shares: RegionShares, rejectionRates: RejectionRates, now: Millis): void {
		const mix = mixOf(shares, rejectionRates);
		if (mix) {
			this._samples.push({ at: now, mix });
		}
	}

	/** Forgets what has moved, after a move that is exempt from the shift bounds. */
	clear(): void {
		this._samples.length = 0;
	}

	/** Returns the fraction of the requests that shares may move now, given what has moved within the last window. */
	movableFraction(shares: RegionShares, rejectionRates: RejectionRates, now: Millis): number {
		while (this._samples.length > 1 && this._samples[1]!.at <= now - this._windowMs) {
			this._samples.shift();
		}
		const present = mixOf(shares, rejectionRates);
		const moved = present ? this._samples.map(({ mix }) => movedFraction(mix, present)) : [];
		return Math.max(0, SHIFT_BUDGET_FRACTION * this._maxMovedFraction - Math.max(0, ...moved));
	}
}

/** How the requests that are not rejected divide among regions; undefined if all are rejected. */
function mixOf(shares: RegionShares, rejectionRates: RejectionRates): RegionShares | undefined {
	const running = shares.map(({ region, share }) => ({
		region,
		share: share * (1 - (rejectionRates.get(region) ?? 0))
	}));
	const total = totalShare(running);
	return total === 0 ? undefined : running.map(({ region, share }) => ({ region, share: share / total }));
}
