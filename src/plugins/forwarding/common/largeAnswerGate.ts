/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Admits requests with large answers only as far as this instance's link can carry them in time: beyond that they would
 * all be late, and the link would be full for everything else. One that is refused is tried at another instance.
 */

import type { Route } from '../../routes/common/routeTable.js';
import { largeBytesPerMs } from './linkPacer.js';

/**
 * Answers under way may fill the link for this many times the objective of their route: most of them are still being
 * worked on at a target and do not need it yet.
 */
const OBJECTIVES_AHEAD = 1.6;
/** Weight of the latest answer in the expected size. */
const SIZE_WEIGHT = 0.1;

/** The large answers that are under way through this instance. */
export class LargeAnswerGate {
	private readonly _bytesPerMs: number;
	private readonly _sizes = new Map<string, number>();
	private _expectedBytes = 0;

	/** @param linkMbit megabits a second of the link, in one direction */
	constructor(linkMbit: number) {
		this._bytesPerMs = largeBytesPerMs(linkMbit);
	}

	/**
	 * Whether one more request of a route may come; the first one always may.
	 * @returns the bytes to give back with {@link release}, or undefined when there is no room
	 */
	admit(route: Route): number | undefined {
		const size = this._sizes.get(route.name) ?? 0;
		const room = this._bytesPerMs * route.objectiveMs * OBJECTIVES_AHEAD;
		if (this._expectedBytes > 0 && this._expectedBytes + size > room) {
			return undefined;
		}
		this._expectedBytes += size;
		return size;
	}

	/** A request that was admitted has ended. */
	release(bytes: number): void {
		this._expectedBytes -= bytes;
	}

	/** An answer of a route had this many bytes. */
	noteSize(route: Route, bytes: number): void {
		const size = this._sizes.get(route.name) ?? bytes;
		this._sizes.set(route.name, size + (bytes - size) * SIZE_WEIGHT);
	}
}
