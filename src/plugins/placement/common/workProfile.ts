/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How long the requests of a route occupy a slot, by whether the target has their object at hand. */

import type { Millis } from '../../../base/clock.js';

/** Work of one request of a route at a target of usual speed, without queueing. */
export interface WorkTimes {
	/** Where the target has served the object recently. */
	readonly hitMs: Millis;
	/** Where it has not. */
	readonly missMs: Millis;
	/** All but a few in a hundred cache hits take at most this long. */
	readonly slowHitMs: Millis;
}

/** Learned work times of routes at this instance. */
export interface IWorkProfile {
	/** Undefined while too few responses of the route are known. */
	timesOf(service: string, route: string): WorkTimes | undefined;
	/**
	 * Records a response.
	 * @param workMs time from the request to the response, without queueing and the way there, divided by the target's work time factor
	 */
	record(service: string, route: string, workMs: Millis): void;
}
