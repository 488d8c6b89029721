/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Divides the requests of a route among its services by weight. */

import { hash32 } from '../../../base/hashing.js';
import type { Route, WeightedService } from '../../routes/common/routeTable.js';

const HASH_RANGE = 2 ** 32;

/**
 * Returns the service for a request. The weights hold regardless of capacity: requests that a service can't take are refused
 * rather than moved to another service.
 * @param requestId hashed to select the service, so that retries of a request go to the same one
 */
export function chooseService(route: Route, requestId: string): string {
	const first = route.parts[0]!;
	if (route.parts.length === 1) {
		return first.service;
	}
	return pickByWeight(route.parts, hash32(requestId) / HASH_RANGE).service;
}

function pickByWeight(parts: readonly WeightedService[], position: number): WeightedService {
	const total = parts.reduce((sum, part) => sum + part.weight, 0);
	let remaining = position * total;
	for (const part of parts) {
		remaining -= part.weight;
		if (remaining < 0) {
			return part;
		}
	}
	return parts[parts.length - 1]!;
}
