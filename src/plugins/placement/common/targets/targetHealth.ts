/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Passive outlier detection: ejects a target for a while, based on the outcomes of the requests that were sent to it. As
 * moving objects to other targets is expensive, a single failed request does not eject a target, but a failure rate does. A
 * failed connection ejects it at once.
 */

import type { Millis } from '../../../../base/clock.js';

const BASE_EJECTION_MS = 400;
const MAX_EJECTION_MS = 4000;
const MAX_DOUBLINGS = 4;
/** Smoothing factor of the failure rate. */
const FAILURE_SMOOTHING = 0.3;
/** Failure rate from which a target is ejected; two consecutive failures reach it. */
const EJECTION_FAILURE_RATE = 0.45;
/** Failure rate after an ejection; one more failure ejects the target again. */
const PROBATION_FAILURE_RATE = 0.3;
/** Smoothing factor of the average response time. */
const RESPONSE_TIME_SMOOTHING = 0.4;
/** A target is slow if its response time exceeds that of its service by this factor. */
const SLOW_FACTOR = 2.5;
/** Minimum number of responses before a target is ejected as slow. */
const MIN_RESPONSES = 3;

/** Health of one target, as observed by the requests of this instance. */
export class TargetHealth {
	private _failureRate = 0;
	private _consecutiveEjections = 0;
	private _ejectedUntil: Millis = Number.NEGATIVE_INFINITY;
	private _averageResponseMs: Millis = 0;
	private _responsesSinceEjection = 0;
	/** Whether no response has shown since the latest ejection that the target has recovered. */
	private _isOnProbation = false;

	/** Whether other targets should be preferred. */
	isEjected(now: Millis): boolean {
		return now < this._ejectedUntil;
	}

	/**
	 * Whether a request may be sent to the target. After an ejection only one request of this instance at a time is sent to
	 * it, until a response shows that the target has recovered; this bounds the requests that fail otherwise.
	 * @param inFlight requests of this instance that are in progress at the target
	 */
	admits(inFlight: number, now: Millis): boolean {
		return !this.isEjected(now) && (!this._isOnProbation || inFlight === 0);
	}

	/** Moving average of the failure rate, 0 to 1. */
	get failureRate(): number {
		return this._failureRate;
	}

	/** Moving average of the response time. */
	get averageResponseMs(): Millis {
		return this._averageResponseMs;
	}

	/** Records that no connection could be established. */
	recordUnreachable(now: Millis): void {
		this._eject(now);
	}

	/** Records that a request got no response, or an error response. */
	recordFailure(now: Millis): void {
		this._failureRate += FAILURE_SMOOTHING * (1 - this._failureRate);
		if (this._failureRate >= EJECTION_FAILURE_RATE) {
			this._eject(now);
		}
	}

	/**
	 * Records that a request reached its deadline without a response. It counts as a failure only if it waited much longer
	 * than responses of the service take.
	 * @param serviceMs average response time of the service
	 */
	recordTimeout(waitedMs: Millis, serviceMs: Millis, now: Millis): void {
		if (waitedMs > SLOW_FACTOR * serviceMs) {
			this.recordFailure(now);
		}
	}

	/**
	 * Records a successful response.
	 * @param serviceMs average response time of the service
	 */
	recordResponse(durationMs: Millis, serviceMs: Millis, now: Millis): void {
		this._failureRate *= 1 - FAILURE_SMOOTHING;
		this._responsesSinceEjection++;
		this._averageResponseMs =
			this._responsesSinceEjection === 1
				? durationMs
				: this._averageResponseMs + RESPONSE_TIME_SMOOTHING * (durationMs - this._averageResponseMs);
		if (this._responsesSinceEjection >= MIN_RESPONSES && this._averageResponseMs > SLOW_FACTOR * serviceMs) {
			this._eject(now);
		} else if (!this.isEjected(now)) {
			this._consecutiveEjections = 0;
			this._isOnProbation = this._isOnProbation && this._averageResponseMs > SLOW_FACTOR * serviceMs;
		}
	}

	private _eject(now: Millis): void {
		if (this.isEjected(now)) {
			return;
		}
		const ejectionMs = BASE_EJECTION_MS * 2 ** Math.min(this._consecutiveEjections, MAX_DOUBLINGS);
		this._consecutiveEjections++;
		this._ejectedUntil = now + Math.min(ejectionMs, MAX_EJECTION_MS);
		this._failureRate = Math.min(this._failureRate, PROBATION_FAILURE_RATE);
		this._responsesSinceEjection = 0;
		this._isOnProbation = true;
	}
}
