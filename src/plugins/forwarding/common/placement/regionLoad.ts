/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * How full the targets of a service are in one region, by the answers of all of them. Each of many instances meets a target
 * once in a second or more, so most targets are not known at any moment. Taken for empty, they would be sent requests that a
 * queue of everybody's delays beyond the objective, and overload would collapse. Taken for as full as the others are, they are
 * left in peace, and so are second targets that have not seen the object.
 */

import type { Millis } from '../../../../base/clock.js';

/** Answers are averaged over this time: enough of them to say something, and short against the time in which a queue fills. */
const AVERAGE_MS = 400;
/** With fewer answers of late than this nothing is known. */
const LEAST_ANSWERS = 1.5;

/** The load of a service's targets in one region, as one instance sees it. */
export class RegionLoad {
	private _sum = 0;
	private _weight = 0;
	private _updatedAt: Millis = 0;

	/**
	 * An answer told how many requests its target has.
	 * @param fill running and waiting ones, as a part of its slots
	 */
	note(fill: number, now: Millis): void {
		this._decay(now);
		this._sum += fill;
		this._weight++;
	}

	/** Requests at a target on average, as a part of its slots; 0 where nothing was heard of late. */
	meanFill(now: Millis): number {
		this._decay(now);
		return this._weight < LEAST_ANSWERS ? 0 : this._sum / this._weight;
	}

	private _decay(now: Millis): void {
		const kept = Math.exp(-(now - this._updatedAt) / AVERAGE_MS);
		this._sum *= kept;
		this._weight *= kept;
		this._updatedAt = now;
	}
}
