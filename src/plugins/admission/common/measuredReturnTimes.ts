/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Return times for a surge of some seconds that exceeds what the targets of a service can do. A refused caller returns once, so its
 * return must find capacity: callers are spread over the latter half of the time in which they can return, when the surge may be over,
 * one for each request that the service completes meanwhile.
 */

import type { Millis } from '../../../base/clock.js';
import { DecayingCount } from './decayingCount.js';
import { compareRanks, type RequestRank } from './requestRank.js';
import { type IReturnTimes, SHORT_RETRY_AFTER_MS } from './returnTimes.js';
import type { ShortageRequest } from './shortageAdmission.js';

/** Callers return within this fraction of the time that they have left, whatever later time they are told. */
const MAX_RETURN_FRACTION = 1 / 3;
/** Earliest return during a shortage, as a fraction of the time that the caller has left. */
const MIN_RETURN_FRACTION = 1 / 6;
/** Time constant of the completion rate: long enough for several completions at an instance that sees one per second. */
const RATE_TIME_CONSTANT_MS = 4000;
/** Time constant of the fraction of refused requests. */
const SHORTAGE_TIME_CONSTANT_MS = 1000;
/** Below this fraction of refused requests there is capacity again shortly. */
const SHORTAGE_FRACTION = 0.05;
/**
 * A return that is late by this many times the interval between returns, and by this fraction of the time in which the caller can
 * return, is told as the latest possible one: an instance that completes about one request per second knows its part of the capacity only
 * roughly, and what is completed during a surge is less than what targets can do.
 */
const MAX_OVERRUN_INTERVALS = 2;
const MAX_OVERRUN_FRACTION = 0.25;
/** A shortage has ended when nothing was refused for this long. */
const SHORTAGE_END_MS = 2000;
/**
 * At the start of a shortage the targets are assumed to do this multiple of what they did before, which was less than they can; what
 * they complete during the shortage replaces the assumption, which counts as much as `ASSUMED_MS` of it.
 */
const ASSUMED_FACTOR = 2;
const ASSUMED_MS = 500;
/** Services without a request for this long are forgotten. */
const IDLE_MS = 60000;

/** The returns told to callers of one service. */
class ServiceReturns {
	private readonly _completions = new DecayingCount(RATE_TIME_CONSTANT_MS, 0);
	private readonly _recentCompletions = new DecayingCount(SHORTAGE_TIME_CONSTANT_MS, 0);
	private readonly _recentRefusals = new DecayingCount(SHORTAGE_TIME_CONSTANT_MS, 0);
	/** The last return told to callers of each rank. */
	private readonly _lastReturns = new Map<string, { readonly rank: RequestRank; at: Millis }>();
	private _firstCompletionAt: Millis | undefined;
	private _lastRefusalAt: Millis = Number.NEGATIVE_INFINITY;
	private _shortageStartedAt: Millis = 0;
	private _assumedPerMs = 0;
	private _completedInShortage = 0;
	lastUsedAt: Millis = 0;

	recordCompletion(now: Millis): void {
		this._firstCompletionAt ??= now;
		this._completions.add(now);
		this._recentCompletions.add(now);
		this._completedInShortage++;
	}

	/** The time at which a caller should return; undefined if there is capacity only after `latest`. */
	nextReturn(rank: RequestRank, earliest: Millis, latest: Millis, now: Millis): Millis | undefined {
		this._recordRefusal(now);
		const intervalMs = this._intervalMs(now);
		const from = this._isShort(now) ? earliest : Math.min(earliest, now + SHORT_RETRY_AFTER_MS);
		if (intervalMs === undefined) {
			return latest;
		}
		const higherOrEqual = [...this._lastReturns.values()].filter(other => compareRanks(other.rank, rank) <= 0);
		const at = Math.max(from, ...higherOrEqual.map(other => other.at + intervalMs));
		const overrunMs = MAX_OVERRUN_INTERVALS * intervalMs + MAX_OVERRUN_FRACTION * (latest - earliest);
		if (at > latest + overrunMs) {
			return undefined;
		}
		this._lastReturns.forEach(other => {
			if (compareRanks(other.rank, rank) > 0 && other.at > at) {
				other.at += intervalMs;
			}
		});
		this._lastReturns.set(`${rank.team} ${rank.route}`, { rank, at });
		return Math.min(at, latest);
	}

	private _isShort(now: Millis): boolean {
		const refusals = this._recentRefusals.perSecond(now);
		return refusals > SHORTAGE_FRACTION * (refusals + this._recentCompletions.perSecond(now));
	}

	private _recordRefusal(now: Millis): void {
		if (now - this._lastRefusalAt > SHORTAGE_END_MS) {
			this._shortageStartedAt = now;
			this._assumedPerMs = ASSUMED_FACTOR * this._completedPerMs(now);
			this._completedInShortage = 0;
		}
		this._lastRefusalAt = now;
		this._recentRefusals.add(now);
	}

	/** Time between two returns; undefined if nothing was completed lately. */
	private _intervalMs(now: Millis): Millis | undefined {
		const completed = this._assumedPerMs * ASSUMED_MS + this._completedInShortage;
		const perMs = completed / (ASSUMED_MS + now - this._shortageStartedAt);
		return perMs > 0 ? 1 / perMs : undefined;
	}

	/** Mean completion rate, also if it is known for a short time only. */
	private _completedPerMs(now: Millis): number {
		if (this._firstCompletionAt === undefined) {
			return 0;
		}
		const observedMs = Math.max(SHORTAGE_TIME_CONSTANT_MS, now - this._firstCompletionAt);
		const weight = 1 - Math.exp(-observedMs / RATE_TIME_CONSTANT_MS);
		return this._completions.perSecond(now) / (1000 * weight);
	}
}

/** Tells refused callers when there will be capacity for them, by the measured completions of their service at this instance. */
export class MeasuredReturnTimes implements IReturnTimes {
	private readonly _services = new Map<string, ServiceReturns>();

	retryAfterMs({ service, rank, deadline }: ShortageRequest, now: Millis): Millis | undefined {
		const leftMs = deadline - now;
		const latestMs = leftMs * MAX_RETURN_FRACTION;
		if (latestMs < SHORT_RETRY_AFTER_MS) {
			return undefined;
		}
		const earliest = now + Math.max(SHORT_RETRY_AFTER_MS, leftMs * MIN_RETURN_FRACTION);
		const at = this._getOrCreate(service, now).nextReturn(rank, earliest, now + latestMs, now);
		return at === undefined ? undefined : Math.ceil(at - now);
	}

	recordCompletion({ service }: ShortageRequest, now: Millis): void {
		this._getOrCreate(service, now).recordCompletion(now);
	}

	private _getOrCreate(service: string, now: Millis): ServiceReturns {
		let returns = this._services.get(service);
		if (!returns) {
			this._services.forEach(({ lastUsedAt }, name) => {
				if (now - lastUsedAt > IDLE_MS) {
					this._services.delete(name);
				}
			});
			returns = new ServiceReturns();
			this._services.set(service, returns);
		}
		returns.lastUsedAt = now;
		return returns;
	}
}
