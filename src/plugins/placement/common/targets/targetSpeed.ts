/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Speed of one target: how long work takes there, relative to its usual duration, from what the target reports. Answers the load
 * of targets that share their machines with others: most slow phases are shorter than the time between two reports of a target to
 * the same instance, some last.
 */

import type { Millis } from '../../../../base/clock.js';
import type { ServiceSpeed } from './serviceSpeed.js';

/** Time constant with which a reported factor loses weight: the speed of a target changes several times a second. */
const REPORT_TIME_CONSTANT_MS: Millis = 400;
/** Reports are grouped into windows of this length; a factor counts as lasting if `LASTING_WINDOWS` in a row showed it. */
const WINDOW_MS: Millis = 600;
const LASTING_WINDOWS = 3;
/** A lasting factor does not count if no report confirms it for this long, so that the target gets a request that tells. */
const LASTING_RETENTION_MS: Millis = 5000;
/** Within this time after the latest report, one report that confirms a lasting factor is enough to restore it. */
const WINDOW_RETENTION_MS: Millis = 30000;

/**
 * A factor is refuted by a response that took less than the work of the service would at that factor, divided by this: routes
 * and objects differ in their work.
 */
const REFUTED_RATIO = 8;

/** The least factor among the reports of one window. */
interface FactorWindow {
	readonly startedAt: Millis;
	readonly least: number;
}

/** Work time factor of one target at this instance. */
export class TargetSpeed {
	private _latest: number | undefined;
	private _reportedAt: Millis = Number.NEGATIVE_INFINITY;
	/** The latest windows with reports, the newest last. */
	private _windows: readonly FactorWindow[] = [];

	/** @param service what is known of all targets of the service; another one if the target's service is renamed */
	constructor(public service: ServiceSpeed) {}

	/** Records the factor that the target reported with a response. */
	record(factor: number, now: Millis): void {
		this.service.recordFactor(factor, now);
		const windows = now - this._reportedAt <= WINDOW_RETENTION_MS ? this._windows : [];
		const last = windows.at(-1);
		this._windows =
			last && now - last.startedAt < WINDOW_MS
				? [...windows.slice(0, -1), { startedAt: last.startedAt, least: Math.min(last.least, factor) }]
				: [...windows.slice(1 - LASTING_WINDOWS), { startedAt: now, least: factor }];
		this._latest = factor;
		this._reportedAt = now;
	}

	/**
	 * Records the time that a response took, and drops reported factors that it refutes.
	 * @returns the time that it would have taken at usual speed, as far as the reported factor explains it
	 */
	recordResponse(durationMs: Millis): Millis {
		const { typicalWorkMs } = this.service;
		const usualMs = durationMs / Math.max(1, this._latest ?? 1);
		if (this._latest !== undefined && typicalWorkMs !== undefined && usualMs < typicalWorkMs / REFUTED_RATIO) {
			this._latest = undefined;
			this._windows = [];
			return durationMs;
		}
		this.service.recordResponse(usualMs);
		return usualMs;
	}

	/** Expected factor for work that starts now. */
	factor(now: Millis): number {
		const rest = this.lastingFactor(now) ?? this.service.meanFactor();
		if (this._latest === undefined) {
			return rest;
		}
		return rest + (this._latest - rest) * Math.exp(-(now - this._reportedAt) / REPORT_TIME_CONSTANT_MS);
	}

	/** The least factor over the latest windows; undefined if too little is known of the target. */
	lastingFactor(now: Millis): number | undefined {
		if (this._windows.length < LASTING_WINDOWS || now - this._reportedAt > LASTING_RETENTION_MS) {
			return undefined;
		}
		return Math.min(...this._windows.map(window => window.least));
	}
}
