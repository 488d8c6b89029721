/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Keeps this instance's requests to cold targets within its share of their rate limits. */

import type { Millis } from '../../../base/clock.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import type { PaceShare } from '../../fleet/common/paceShare.js';
import type { Candidate } from './targetChoice.js';

/** Fraction of a cold target's rate limit that is used: a margin for requests that arrive closer together than sent. */
const COLD_RATE_FRACTION = 0.6;

/** Rates at which this instance sends to cold targets. */
export class ColdPace {
	/** @param _paceShare this instance's share of the rate limits of cold targets */
	constructor(
		private readonly _view: FleetView,
		private readonly _paceShare: PaceShare
	) {}

	/** Whether a target is warm, or takes one more request of this instance now. */
	isUsable(candidate: Candidate, now: Millis): boolean {
		return candidate.known.coldUntil <= now || this.mayUseCold(candidate, now);
	}

	/** Whether a cold target takes one more request of this instance now. */
	mayUseCold(candidate: Candidate, now: Millis): boolean {
		const perSecond = this._rate(candidate);
		return perSecond > 0 && candidate.state.hasColdToken(perSecond, now);
	}

	/** Counts a request to a target, if that is cold. */
	recordRequest(candidate: Candidate, now: Millis): void {
		if (candidate.known.coldUntil > now) {
			candidate.state.tryTakeColdToken(this._rate(candidate), now);
		}
	}

	/** Requests per second that this instance may send to a cold target. */
	private _rate({ known }: Candidate): number {
		const perSecond = this._view.routes?.service(known.record.service)?.coldPerSecond ?? 0;
		return COLD_RATE_FRACTION * perSecond * this._paceShare.fractionFor(known.record);
	}
}
