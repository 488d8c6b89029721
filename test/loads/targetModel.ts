/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A simulated target with a limited number of slots, a queue, and an LRU cache of objects. */

import type { Millis } from '../../src/base/clock.js';

/** Capacity and service times of a target. */
export interface TargetModelSettings {
	readonly slots: number;
	/** Maximum number of queued requests; further ones are rejected. */
	readonly queueLength: number;
	/** Maximum number of cached objects; the least recently used one is evicted first. */
	readonly cacheSize: number;
	/** Service time of a request whose object is not cached. */
	readonly missMs: Millis;
	/** Service time of a request whose object is cached. */
	readonly hitMs: Millis;
	/** Whether load reports have a fourth figure, how long work takes; false if omitted. */
	readonly reportsWorkTime?: boolean;
}

interface QueuedRequest {
	readonly object: string;
	readonly onStarted: (endsAt: Millis) => void;
}

/** One target. Holds no timers: callers pass the current time and call `release` when a request has completed. */
export class TargetModel {
	/** Requests that reached the target, including rejected ones. */
	arrivals = 0;
	/** Requests that were started while their object was not cached. */
	cacheMisses = 0;
	/** Time that the slots were used, added up over the slots. */
	busyMs: Millis = 0;
	/** Fraction of requests that are rejected although the target has capacity, 0 to 1. */
	shedRatio = 0;
	/** Rate limit for all instances together, in requests per second; undefined if the target reports none. */
	limitPerSecond: number | undefined;
	/** Backoff that the target requests when it rejects a request; 0 for none. */
	backoffMs: Millis = 0;
	/** How long work that starts now takes, relative to the service times. */
	workTimeFactor = 1;
	private readonly _queue: QueuedRequest[] = [];
	private readonly _cache = new Map<string, true>();
	private _running = 0;
	private _endTimes: Millis[] = [];

	constructor(
		readonly id: string,
		private readonly _settings: TargetModelSettings
	) {}

	/** Load report sent with each response: running requests, queued requests, slots and possibly the work time in percent. */
	get loadReport(): string {
		const load = `${this._running},${this._queue.length},${this._settings.slots}`;
		return this._settings.reportsWorkTime ? `${load},${Math.round(100 * this.workTimeFactor)}` : load;
	}

	/** Running and queued requests. */
	get load(): number {
		return this._running + this._queue.length;
	}

	/** Number of cached objects. */
	get cachedCount(): number {
		return this._cache.size;
	}

	/** Whether an object is cached. */
	isCached(object: string): boolean {
		return this._cache.has(object);
	}

	/** Time until a request that arrives now would complete, if nothing else arrives and the speed stays as it is. */
	completionMs(object: string, now: Millis): Millis {
		const { slots, hitMs, missMs } = this._settings;
		const workMs = (key: string): Millis => (this._cache.has(key) ? hitMs : missMs) * this.workTimeFactor;
		if (this._running < slots) {
			return workMs(object);
		}
		const free = [...this._endTimes];
		const takeSlot = (key: string): Millis => {
			const first = free.indexOf(Math.min(...free));
			return (free[first] = Math.max(now, free[first]!) + workMs(key));
		};
		this._queue.forEach(request => takeSlot(request.object));
		return takeSlot(object) - now;
	}

	/**
	 * Queues a request, or starts it if a slot is free.
	 * @param randomValue a number in [0, 1); the request is shed if it is below `shedRatio`
	 * @param onStarted called when the request starts, with the time when it will complete
	 * @returns false if the request is rejected
	 */
	offer(object: string, randomValue: number, now: Millis, onStarted: (endsAt: Millis) => void): boolean {
		this.arrivals++;
		if (randomValue < this.shedRatio || this._queue.length >= this._settings.queueLength) {
			return false;
		}
		this._queue.push({ object, onStarted });
		this._startNext(now);
		return true;
	}

	/** Empties the cache, as after a restart. */
	forgetObjects(): void {
		this._cache.clear();
	}

	/** Frees the slot of a completed request. */
	release(now: Millis): void {
		this._running--;
		this._endTimes = this._endTimes.filter(endsAt => endsAt > now);
		this._startNext(now);
	}

	private _startNext(now: Millis): void {
		if (this._running >= this._settings.slots) {
			return;
		}
		const next = this._queue.shift();
		if (next) {
			this._running++;
			const serviceTimeMs = this._serviceTimeMs(next.object) * this.workTimeFactor;
			this.busyMs += serviceTimeMs;
			this._endTimes.push(now + serviceTimeMs);
			next.onStarted(now + serviceTimeMs);
		}
	}

	private _serviceTimeMs(object: string): Millis {
		const { missMs, hitMs, cacheSize } = this._settings;
		const isHit = this._cache.delete(object);
		this._cache.set(object, true);
		if (isHit) {
			return hitMs;
		}
		this.cacheMisses++;
		if (this._cache.size > cacheSize) {
			this._cache.delete(this._cache.keys().next().value!);
		}
		return missMs;
	}
}
