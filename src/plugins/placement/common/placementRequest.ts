/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What target selection needs to know of a request that is being forwarded. */

import type { Millis } from '../../../base/clock.js';
import type { Route } from '../../routes/common/routeTable.js';

/** The caller's side of a request. */
export interface PlacementCaller {
	readonly requestId: string;
	/** When the request arrived, on the monotonic clock; undefined for now. */
	readonly arrivedAt?: Millis;
	/** Key of the object that the request is about; undefined for none. */
	readonly objectKey: string | undefined;
	/** Whether the connection closed before the caller had the whole response. */
	readonly isDisconnected: boolean;
}

/** A request that needs a target. */
export interface PlacementRequest {
	readonly exchange: PlacementCaller;
	readonly route: Route;
	readonly service: string;
	/** Regions in which the request may be served; empty for any. */
	readonly homeRegions: readonly string[];
	/** Ids of targets that are not selected for this request again. */
	readonly tried: ReadonlySet<string>;
	/** On the monotonic clock; undefined for none. */
	readonly deadline?: Millis;
	/** Attempts so far, in order. */
	readonly attempts: readonly unknown[];
	/** Permits within rate limits of targets that were requested and denied. */
	readonly permitsDenied: number;
	/** Factor on the utilization limits of targets, more than 0; 1 if omitted. */
	readonly utilizationFactor?: number;
}
