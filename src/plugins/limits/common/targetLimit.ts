/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The rate limit of one target incarnation for all instances together, as known to this instance. */

import type { Millis } from '../../../base/clock.js';

/** How a known limit changed; the values are logged. */
export enum LimitChange {
	/** The target has a limit and had none before. */
	Named = 'named',
	Lowered = 'lowered',
	Raised = 'raised',
	/** The target no longer has a limit. */
	Ended = 'ended'
}

/** The rate limit that a target reports in a response. */
export interface LimitReport {
	/** Requests per second; undefined if it reports no limit. */
	readonly perSecond: number | undefined;
	/** When the request of this response was written, on the monotonic clock. */
	readonly requestSentAt: Millis;
}

/** For this long after a report of the target itself, a higher limit in its record is ignored. */
const TARGET_REPORT_PRECEDENCE_MS: Millis = 1000;
/** Lower limits, also 0, count as this many requests per second, since only responses of the target tell when they end. */
const MIN_PER_SECOND = 0.1;
/** Maximum number of unused permits; more would allow bursts above this instance's share of the limit. */
const MAX_PERMITS = 1;

/**
 * A rate limit, and this instance's permits within it: a token bucket with one token for each request that may be sent, refilled at this
 * instance's share of the limit. Over all instances, a window contains at most the allowed requests and one more for each sender.
 */
export class TargetLimit {
	private _perSecond: number | undefined;
	private _knownSince: Millis = Number.NEGATIVE_INFINITY;
	/** When a report of the target was last accepted. */
	private _reportedAt: Millis = Number.NEGATIVE_INFINITY;
	/** When the current limit was last set or confirmed, by the target or by its record. */
	private _confirmedAt: Millis = Number.NEGATIVE_INFINITY;
	/** Limit that the target's record had last. */
	private _recorded: number | undefined;
	private _permits = 0;
	private _refilledAt: Millis = 0;

	/** Requests per second from all instances together; undefined if there is no limit. */
	get perSecond(): number | undefined {
		return this._perSecond;
	}

	/** Since when the current limit, or its absence, is known. */
	get knownSince(): Millis {
		return this._knownSince;
	}

	/**
	 * Applies the report in a response. Responses may arrive out of order: a higher limit, or none, is accepted only if its request was
	 * sent after the lower one was last confirmed here.
	 * @returns undefined if nothing changed
	 */
	applyReport({ perSecond, requestSentAt }: LimitReport, now: Millis): LimitChange | undefined {
		if (isIncrease(changeOf(this._perSecond, perSecond)) && requestSentAt <= this._confirmedAt) {
			return undefined;
		}
		this._reportedAt = now;
		return this._set(perSecond, now);
	}

	/**
	 * Applies the limit in the target's record if it differs from the last one there.
	 * @returns undefined if nothing changed
	 */
	applyRecorded(recorded: number | undefined, now: Millis): LimitChange | undefined {
		if (recorded === this._recorded) {
			return undefined;
		}
		this._recorded = recorded;
		const isContradicted =
			now - this._reportedAt < TARGET_REPORT_PRECEDENCE_MS && isIncrease(changeOf(this._perSecond, recorded));
		return isContradicted ? undefined : this._set(recorded, now);
	}

	/**
	 * Whether a request may be sent to the target now.
	 * @param share this instance's share of the limit, 0 to 1
	 */
	hasPermit(share: number, now: Millis): boolean {
		return this.permitWaitMs(share, now) === 0;
	}

	/** Takes a permit if one is available; always succeeds without a limit. */
	tryTakePermit(share: number, now: Millis): boolean {
		const isAvailable = this.hasPermit(share, now);
		if (isAvailable && this._perSecond !== undefined) {
			this._permits--;
		}
		return isAvailable;
	}

	/** Returns a permit whose request was not sent. */
	giveBack(): void {
		this._permits = Math.min(MAX_PERMITS, this._permits + 1);
	}

	/** Time until the next permit; 0 if one is available or there is no limit, infinite for an instance without a share. */
	permitWaitMs(share: number, now: Millis): Millis {
		if (this._perSecond === undefined) {
			return 0;
		}
		if (share === 0) {
			return Number.POSITIVE_INFINITY;
		}
		const perMs = (share * Math.max(MIN_PER_SECOND, this._perSecond)) / 1000;
		this._permits = Math.min(MAX_PERMITS, this._permits + (now - this._refilledAt) * perMs);
		this._refilledAt = now;
		return this._permits >= 1 ? 0 : (1 - this._permits) / perMs;
	}

	private _set(perSecond: number | undefined, now: Millis): LimitChange | undefined {
		this._confirmedAt = now;
		const change = changeOf(this._perSecond, perSecond);
		if (change === LimitChange.Named) {
			this._permits = 0;
			this._refilledAt = now;
		}
		if (change !== undefined) {
			this._perSecond = perSecond;
			this._knownSince = now;
		}
		return change;
	}
}

function isIncrease(change: LimitChange | undefined): boolean {
	return change === LimitChange.Raised || change === LimitChange.Ended;
}

function changeOf(previous: number | undefined, next: number | undefined): LimitChange | undefined {
	if (previous === next) {
		return undefined;
	}
	if (previous === undefined) {
		return LimitChange.Named;
	}
	if (next === undefined) {
		return LimitChange.Ended;
	}
	return next < previous ? LimitChange.Lowered : LimitChange.Raised;
}
