/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Estimates how many slots the callers of an instance need while the objects are cached: rates by route times the work of cache hits.
 * Load: cache misses and queues lengthen responses exactly when a service is short of slots, and a demand that counts them
 * moves further objects.
 */

import type { Millis } from '../../../base/clock.js';
import type { IWorkProfile } from './workProfile.js';

/** Routes of a service that are counted; further ones count as the last of them. */
const MAX_ROUTES = 64;
/** Time constant of the parts of the routes, which change less than their rates. */
const PARTS_TIME_CONSTANT_MS = 10000;

/** Work of cache hits of the requests of one service, as the mean over its routes. */
export class RouteMix {
	/** Number of requests by route, each decayed exponentially by its age. */
	private readonly _requests = new Map<string, number>();
	private _updatedAt: Millis;

	constructor(
		private readonly _service: string,
		now: Millis
	) {
		this._updatedAt = now;
	}

	/** Records that a caller's request of a route arrived. */
	recordRequest(route: string, now: Millis): void {
		const decay = Math.exp(-(now - this._updatedAt) / PARTS_TIME_CONSTANT_MS);
		this._updatedAt = now;
		for (const [name, count] of this._requests) {
			this._requests.set(name, count * decay);
		}
		const isCounted = this._requests.has(route) || this._requests.size < MAX_ROUTES;
		const counted = isCounted ? route : [...this._requests.keys()].at(-1)!;
		this._requests.set(counted, (this._requests.get(counted) ?? 0) + 1);
	}

	/** Mean work of a cache hit; undefined while the work of no route is known. */
	hitWorkMs(profile: IWorkProfile): Millis | undefined {
		let work = 0;
		let known = 0;
		for (const [route, count] of this._requests) {
			const times = profile.timesOf(this._service, route);
			if (times) {
				work += count * times.hitMs;
				known += count;
			}
		}
		return known > 0 ? work / known : undefined;
	}
}
