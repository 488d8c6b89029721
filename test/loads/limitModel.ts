/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Limits of targets in a load replay: how instances keep to them, and what the targets see of it. The sum is counted where it arrives, over all
 * instances.
 */

import type { Millis } from '../../src/base/clock.js';
import type { FleetView } from '../../src/plugins/fleet/common/fleetView.js';
import { PaceShare } from '../../src/plugins/fleet/common/paceShare.js';
import { TargetLimitTable } from '../../src/plugins/limits/common/targetLimitTable.js';

/** How instances keep to the limits that targets name. */
export type LimitWay =
	/** Nobody hears them. */
	| 'unheard'
	/** Each instance keeps to the whole limit by itself. */
	| 'each'
	/** Each instance keeps to an equal part. */
	| 'parts'
	/** Two senders hold equal parts, and the others leave the target out. */
	| 'senders'
	/** Two senders hold equal parts, and the others ask them for permits. */
	| 'asked';

/** The part of targets' limits that an instance holds, by the way that is weighed. */
class WeighedShare extends PaceShare {
	constructor(
		name: string,
		private readonly _way: LimitWay,
		private readonly _instances: number
	) {
		super(name, () => 0);
	}

	override fractionFor(record: Parameters<PaceShare['fractionFor']>[0]): number {
		switch (this._way) {
			case 'each':
				return 1;
			case 'parts':
				return 1 / this._instances;
			default:
				return super.fractionFor(record);
		}
	}
}

/** The limits that one instance knows, kept in one of the ways. */
export function limitTableFor(name: string, way: LimitWay, instances: number, view: FleetView): TargetLimitTable {
	return new TargetLimitTable(view, new WeighedShare(name, way, instances));
}

/** Arrivals at one target while it names a limit. */
export class LimitedArrivals {
	private readonly _arrivals: Millis[] = [];
	private _endedAt: Millis = Number.POSITIVE_INFINITY;

	/** @param _from when what arrives begins to count */
	constructor(
		readonly perSecond: number,
		private readonly _from: Millis
	) {}

	/** A request reached the target. */
	note(now: Millis): void {
		if (now >= this._from && now < this._endedAt) {
			this._arrivals.push(now);
		}
	}

	/** The target names no limit any more. */
	end(now: Millis): void {
		this._endedAt = now;
	}

	/** The most that arrived in a window, as times of what the limit allows in it. */
	mostInWindow(windowMs: Millis): number {
		let most = 0;
		let begin = 0;
		this._arrivals.forEach((at, end) => {
			while (this._arrivals[begin]! <= at - windowMs) {
				begin++;
			}
			most = Math.max(most, end - begin + 1);
		});
		return (most * 1000) / (this.perSecond * windowMs);
	}

	/** Part of the limit that was used. */
	get usedPart(): number {
		return (this._arrivals.length * 1000) / (this.perSecond * (this._endedAt - this._from));
	}
}
