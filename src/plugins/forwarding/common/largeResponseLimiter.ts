/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Limits the large responses in progress to what this instance's link can transfer within their latency objective. Beyond
 * that all of them would miss it, and the link would be saturated for other traffic. A refused request is retried at another
 * instance.
 */

import type { Route } from '../../routes/common/routeTable.js';
import { largeResponseBytesPerMs } from './linkPacer.js';

/**
 * Admitted responses may add up to this many times the bytes that the link transfers within the objective of the route:
 * most of them are still being produced by a target and do not use the link yet.
 */
const MAX_COMMITTED_OBJECTIVES = 1.6;
/** Smoothing factor of the average response size. */
const SIZE_SMOOTHING = 0.1;

/** Admission control for large responses that pass through this instance. */
export class LargeResponseLimiter {
	private readonly _bytesPerMs: number;
	private readonly _averageBytes = new Map<string, number>();
	private _admittedBytes = 0;

	/** @param linkMbit bandwidth of the link in one direction, in Mbit/s */
	constructor(linkMbit: number) {
		this._bytesPerMs = largeResponseBytesPerMs(linkMbit);
	}

	/**
	 * Admits a request of a route if its expected response fits. A request is always admitted if the sum is zero.
	 * @returns the expected bytes, to be passed to {@link release}; undefined if the request is not admitted
	 */
	tryAdmit(route: Route): number | undefined {
		const expectedBytes = this._averageBytes.get(route.name) ?? 0;
		const capacityBytes = this._bytesPerMs * route.objectiveMs * MAX_COMMITTED_OBJECTIVES;
		if (this._admittedBytes > 0 && this._admittedBytes + expectedBytes > capacityBytes) {
			return undefined;
		}
		this._admittedBytes += expectedBytes;
		return expectedBytes;
	}

	/** Must be called with the result of {@link tryAdmit} when an admitted request has ended. */
	release(bytes: number): void {
		this._admittedBytes -= bytes;
	}

	/** Updates the average response size of a route. */
	recordSize(route: Route, bytes: number): void {
		const averageBytes = this._averageBytes.get(route.name) ?? bytes;
		this._averageBytes.set(route.name, averageBytes + (bytes - averageBytes) * SIZE_SMOOTHING);
	}
}
