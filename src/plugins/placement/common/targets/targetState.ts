/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** State of one target as observed by this instance's own requests: load, health, backoff and cold-start pacing. */

import type { Millis } from '../../../../base/clock.js';
import type { RegionLoad } from '../regionLoad.js';
import { TargetHealth } from './targetHealth.js';
import { TargetBackoff } from './targetBackoff.js';
import type { LoadReport } from './targetReport.js';
import { ServiceSpeed } from './serviceSpeed.js';
import { TargetSpeed } from './targetSpeed.js';

/** Load reports older than this are ignored. */
const LOAD_REPORT_MAX_AGE_MS = 1500;

/** A target counts as unreachable for this long after a failed connection, unless it responds in the meantime. */
const UNREACHABLE_RETENTION_MS = 4000;

/** State of one target at this instance. */
export class TargetState {
	/** Failure rate and response time. */
	health = new TargetHealth();
	/** Backoff that the target asked for. */
	readonly backoff = new TargetBackoff();
	/** Name of the service that `speed` compares the target with. */
	serviceName: string | undefined;
	/** How long work takes there. */
	readonly speed: TargetSpeed;
	/** Number of requests of this instance that are in progress at the target. */
	inFlight = 0;
	/** Whether this instance has sent a request to the target. */
	isUsed = false;
	/** Whether the address now belongs to another target; this one will not return. */
	isReplaced = false;
	/** When the target last sent any response; undefined for never. */
	answeredAt: Millis | undefined;
	/** When a connection attempt last failed; undefined for never. */
	unreachableAt: Millis | undefined;
	private _otherInstancesLoad = 0;
	private _loadReportedAt: Millis = Number.NEGATIVE_INFINITY;
	private _coldTokens = 1;
	private _coldTokensAt: Millis = 0;

	/**
	 * @param regionLoad load of the service's targets in the region of this target
	 * @param serviceSpeed speed of the service's targets
	 */
	constructor(
		readonly id: string,
		/** Start time that identifies the run of the target's process. */
		readonly bornAt: number,
		readonly slots: number,
		readonly regionLoad: RegionLoad,
		serviceSpeed = new ServiceSpeed()
	) {
		this.speed = new TargetSpeed(serviceSpeed);
	}

	/** Forgets failures that were not the target's. */
	forgetFailures(): void {
		this.health = new TargetHealth();
		this.unreachableAt = undefined;
	}

	/** Whether a connection attempt failed recently and the target has not responded since. */
	isUnreachable(now: Millis): boolean {
		const { unreachableAt, answeredAt } = this;
		const isRecent = unreachableAt !== undefined && now - unreachableAt <= UNREACHABLE_RETENTION_MS;
		return isRecent && (answeredAt === undefined || answeredAt < unreachableAt);
	}

	/**
	 * Estimated number of requests at the target, those of other instances included. It blends the latest load report of the
	 * target, whose weight decreases with its age, with the mean load of the targets in the region.
	 */
	load(now: Millis): number {
		const reportWeight = Math.max(0, 1 - (now - this._loadReportedAt) / LOAD_REPORT_MAX_AGE_MS);
		if (reportWeight === 0) {
			return Math.max(this.inFlight, this._estimatedLoad(now));
		}
		const reportedLoad = this.inFlight + this._otherInstancesLoad;
		return Math.max(this.inFlight, reportedLoad * reportWeight + this._estimatedLoad(now) * (1 - reportWeight));
	}

	private _estimatedLoad(now: Millis): number {
		const { regionLoad, speed } = this;
		// An instance that sends little to a region would take its full targets for idle.
		const utilization = speed.service.isEstimated(now)
			? regionLoad.rememberedUtilization(now)
			: regionLoad.meanUtilization(now);
		return utilization * this.slots;
	}

	/** Applies the load report of a response. Must be called while the request still counts as in flight. */
	applyLoadReport(report: LoadReport, now: Millis): void {
		this.regionLoad.recordUtilization((report.running + report.waiting) / Math.max(1, report.slots), now);
		this._otherInstancesLoad = Math.max(0, report.running + report.waiting - Math.max(0, this.inFlight - 1));
		this._loadReportedAt = now;
		if (report.workTimeFactor !== undefined) {
			this.speed.record(report.workTimeFactor, now);
		}
	}

	/** Whether `load` follows from recent reports, those of the target or of others in its region. */
	isLoadKnown(now: Millis): boolean {
		return now - this._loadReportedAt < LOAD_REPORT_MAX_AGE_MS || this.regionLoad.isKnown(now);
	}

	/** Records that the target refused a request as full. Its slots count as taken, with the weight of a new load report. */
	markFull(now: Millis): void {
		this._otherInstancesLoad = Math.max(this._otherInstancesLoad, this.slots * 2);
		this._loadReportedAt = now;
	}

	/**
	 * Records a successful response. Time that the target's reported speed explains does not count against its health.
	 * @param serviceMs average response time of the service
	 */
	recordResponse(durationMs: Millis, serviceMs: Millis, now: Millis): void {
		this.health.recordResponse(this.speed.recordResponse(durationMs), serviceMs, now);
	}

	/**
	 * Consumes a token to send one request to a cold target.
	 * @param perSecond this instance's share of the request rate that the target accepts while it is cold
	 * @returns false if no token is available
	 */
	tryTakeColdToken(perSecond: number, now: Millis): boolean {
		this._refillColdTokens(perSecond, now);
		if (this._coldTokens < 1) {
			return false;
		}
		this._coldTokens--;
		return true;
	}

	/** Whether {@link tryTakeColdToken} would succeed. */
	hasColdToken(perSecond: number, now: Millis): boolean {
		this._refillColdTokens(perSecond, now);
		return this._coldTokens >= 1;
	}

	private _refillColdTokens(perSecond: number, now: Millis): void {
		const gained = ((now - this._coldTokensAt) / 1000) * perSecond;
		this._coldTokens = Math.min(1, this._coldTokens + gained);
		this._coldTokensAt = now;
	}
}
