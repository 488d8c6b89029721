/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Tracks when a control instance had observations of all entry instances and targets, its own and those of other control
 * instances. An instance that is partitioned or has just recovered observes only a few of them; acting on these alone, it
 * would direct all callers to a few entry instances and report live targets as silent.
 */

import type { Millis } from '../../../base/clock.js';

/** After being connected for this long, an instance has received all observations through the exchange. */
const EXCHANGE_SETTLE_MS = 1000;
/** How long a partitioned instance may use its last complete observations. */
const MAX_RETENTION_MS = 20000;

/** Times at which the observations of this instance were complete. */
export class ObservationCompleteness {
	private _connectedSince: Millis | undefined;
	private _lastCompleteAt: Millis | undefined;

	/** Sets whether the instance is connected to the leader and to most other control instances; call several times a second. */
	setConnected(isConnected: boolean, now: Millis): void {
		if (!isConnected) {
			this._connectedSince = undefined;
			return;
		}
		this._connectedSince ??= now;
		if (now - this._connectedSince >= EXCHANGE_SETTLE_MS) {
			this._lastCompleteAt = now;
		}
	}

	/** Since when observations have been complete without interruption; undefined if they are not. */
	get completeSince(): Millis | undefined {
		return this._connectedSince !== undefined &&
			this._connectedSince + EXCHANGE_SETTLE_MS <= (this._lastCompleteAt ?? Number.NEGATIVE_INFINITY)
			? this._connectedSince + EXCHANGE_SETTLE_MS
			: undefined;
	}

	/** When observations were last complete; undefined if never, or too long ago to be used. */
	lastCompleteAt(now: Millis): Millis | undefined {
		const isRetained = this._lastCompleteAt !== undefined && now - this._lastCompleteAt <= MAX_RETENTION_MS;
		return isRetained ? this._lastCompleteAt : undefined;
	}
}
