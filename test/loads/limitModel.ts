/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Rate limits of targets in a simulation: how entry instances enforce them, and how much of a limit was used by all instances together. */

import type { Millis } from '../../src/base/clock.js';
import type { FleetView } from '../../src/plugins/fleet/common/fleetView.js';
import { PaceShare } from '../../src/plugins/fleet/common/paceShare.js';
import { TargetLimitTable } from '../../src/plugins/limits/common/targetLimitTable.js';

/** How entry instances enforce the rate limits that targets report. */
export type LimitEnforcement =
	/** Not at all: reported limits are ignored. */
	| 'ignored'
	/** Each instance applies the whole limit to its own requests. */
	| 'full-limit'
	/** Each instance applies an equal share of the limit. */
	| 'equal-shares'
	/** Two senders apply half of the limit each; other instances do not use the target. */
	| 'senders-only'
	/** Two senders apply half of the limit each; other instances request permits from them. */
	| 'permits';

/** The share of a target's rate limit that an instance holds under the simulated enforcement. */
class EnforcedPaceShare extends PaceShare {
	constructor(
		name: string,
		private readonly _enforcement: LimitEnforcement,
		private readonly _instanceCount: number
	) {
		super(name, () => 0);
	}

	override fractionFor(record: Parameters<PaceShare['fractionFor']>[0]): number {
		switch (this._enforcement) {
			case 'full-limit':
				return 1;
			case 'equal-shares':
				return 1 / this._instanceCount;
			default:
				return super.fractionFor(record);
		}
	}
}

/** Creates the limit table of one entry instance. */
export function createLimitTable(
	name: string,
	enforcement: LimitEnforcement,
	instanceCount: number,
	view: FleetView
): TargetLimitTable {
	return new TargetLimitTable(view, new EnforcedPaceShare(name, enforcement, instanceCount));
}

/** Counts the requests that reach one target while it reports a rate limit. */
export class LimitedArrivals {
	private readonly _arrivals: Millis[] = [];
	private _endedAt: Millis = Number.POSITIVE_INFINITY;

	/**
	 * @param perSecond the rate limit
	 * @param _countedFrom earlier arrivals are not counted
	 */
	constructor(
		readonly perSecond: number,
		private readonly _countedFrom: Millis
	) {}

	record(now: Millis): void {
		if (now >= this._countedFrom && now < this._endedAt) {
			this._arrivals.push(now);
		}
	}

	/** Stops counting: the target no longer reports the limit. */
	end(now: Millis): void {
		this._endedAt = now;
	}

	/** The maximum number of arrivals within any window of this length, relative to the number that the limit allows in it. */
	peakUtilization(windowMs: Millis): number {
		let maxCount = 0;
		let start = 0;
		this._arrivals.forEach((at, end) => {
			while (this._arrivals[start]! <= at - windowMs) {
				start++;
			}
			maxCount = Math.max(maxCount, end - start + 1);
		});
		return (maxCount * 1000) / (this.perSecond * windowMs);
	}

	/** Arrivals relative to the number that the limit allowed, over the whole time; meaningful once `end` was called. */
	get utilization(): number {
		return (this._arrivals.length * 1000) / (this.perSecond * (this._endedAt - this._countedFrom));
	}
}
