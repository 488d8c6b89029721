/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * What is known of the work times of a service's targets together: how long work takes relative to its usual duration, and how
 * long it usually takes. It stands in for what is not known of a target or of a route.
 */

import type { Millis } from '../../../../base/clock.js';

/** Time constant of the mean factor: targets change their speed several times a second, their mean hardly does. */
const MEAN_TIME_CONSTANT_MS: Millis = 3000;
/** A service counts as one whose targets report work times for this long after the latest report. */
const REPORT_RETENTION_MS: Millis = 30000;
/** Step of the typical work time towards a response, relative to itself: it follows a lower quartile of the responses. */
const WORK_TIME_STEP = 0.05;
const WORK_TIME_QUANTILE = 0.25;

/** Work time factors of a service's targets that count now. */
export interface FactorSummary {
	readonly mean: number;
	readonly largest: number;
	/** Load reports with a figure that cannot be right, since the start. */
	readonly invalidReports: number;
}

/** Work times of the targets of one service, as observed by one instance. */
export class ServiceSpeed {
	/** Load reports with a figure that cannot be right, since the start. */
	invalidReports = 0;
	private _sum = 0;
	private _weight = 0;
	private _updatedAt: Millis = Number.NEGATIVE_INFINITY;
	private _typicalWorkMs: Millis | undefined;

	/** @param _isRanked whether ranks decide who gets scarce slots, also where targets report no work time */
	constructor(private readonly _isRanked = false) {}

	/** Whether answers are estimated for requests to the service: ranks decide, or its targets report work times. */
	isEstimated(now: Millis): boolean {
		return this._isRanked || this.isReported(now);
	}

	/** Whether targets of the service have reported a work time recently. */
	isReported(now: Millis): boolean {
		return now - this._updatedAt <= REPORT_RETENTION_MS;
	}

	/** Mean work time factor that the targets reported recently; 1 if none did. */
	meanFactor(): number {
		return this._weight === 0 ? 1 : this._sum / this._weight;
	}

	/** Low quartile of the times that responses took, divided by the work time factor; undefined if there was no response. */
	get typicalWorkMs(): Millis | undefined {
		return this._typicalWorkMs;
	}

	/** Records a work time factor that a target reported. */
	recordFactor(factor: number, now: Millis): void {
		const decay = Math.exp(-(now - this._updatedAt) / MEAN_TIME_CONSTANT_MS);
		this._sum = this._sum * decay + factor;
		this._weight = this._weight * decay + 1;
		this._updatedAt = now;
	}

	/** Records the time that a response took, divided by the work time factor. */
	recordResponse(durationMs: Millis): void {
		const typical = this._typicalWorkMs;
		if (typical === undefined) {
			this._typicalWorkMs = durationMs;
		} else {
			const step = WORK_TIME_STEP * typical;
			const isLonger = durationMs > typical;
			this._typicalWorkMs = typical + step * (isLonger ? WORK_TIME_QUANTILE : WORK_TIME_QUANTILE - 1);
		}
	}
}
