/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Describes targets that take no requests now, because they back off or are rate limited, and when they do again. */

import type { Millis } from '../../../base/clock.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import { NotRunCause } from '../../forwarding/common/attempt.js';
import type { SkippedTarget } from '../../forwarding/common/requestTrace.js';
import type { ITargetLimitStatus } from '../../limits/common/targetLimits.js';
import type { Candidate } from './targetChoice.js';

/** When and why capacity becomes available again. */
export interface NextCapacity {
	/** Why no target takes the request now. */
	readonly cause: NotRunCause.BackingOff | NotRunCause.RateLimited;
	readonly at: Millis;
	/** Time between permits for the callers of one instance; 0 if there is capacity for all of them at once. */
	readonly intervalMs: Millis;
}

/** Backoff and rate limits of targets that are deferred. */
export class DeferredCapacity {
	constructor(
		private readonly _view: FleetView,
		private readonly _targetLimits: ITargetLimitStatus
	) {}

	/** Returns when one of the targets takes requests again. */
	next(deferred: readonly Candidate[], now: Millis): NextCapacity {
		const limited = deferred.filter(({ state }) => !state.backoff.isActive(now));
		if (limited.length > 0) {
			return {
				cause: NotRunCause.RateLimited,
				at: this._nextPermitAt(limited, now),
				intervalMs: this._permitIntervalMs(limited, now)
			};
		}
		return {
			cause: NotRunCause.BackingOff,
			at: Math.min(...deferred.map(({ state }) => state.backoff.endsAt)),
			intervalMs: 0
		};
	}

	/** Describes why a target was skipped; undefined if it is not deferred. */
	describeSkipped(
		target: Candidate | undefined,
		deferred: readonly Candidate[],
		now: Millis
	): SkippedTarget | undefined {
		if (!target || !deferred.some(({ state }) => state === target.state)) {
			return undefined;
		}
		const { backoff } = target.state;
		const { record } = target.known;
		return backoff.isActive(now)
			? { target: record.id, restLeftMs: Math.round(backoff.endsAt - now) }
			: { target: record.id, limitPerSecond: this._targetLimits.perSecond(record, now) };
	}

	private _nextPermitAt(limited: readonly Candidate[], now: Millis): Millis {
		return now + Math.min(...limited.map(({ known }) => this._targetLimits.permitWaitMs(known.record, now)));
	}

	/** Time between permits of rate limited targets for the callers of one of the region's instances, which share them equally. */
	private _permitIntervalMs(limited: readonly Candidate[], now: Millis): Millis {
		const perSecond = limited.reduce(
			(sum, { known }) => sum + (this._targetLimits.perSecond(known.record, now) ?? 0),
			0
		);
		return (1000 * Math.max(1, this._view.regionEntries.length)) / perSecond;
	}
}
