/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Divides the requests of a route among its services by weight. */

import { hash32 } from '../../../../base/hashing.js';
import type { Route, RoutePart } from '../../../routes/common/routeTable.js';

const HASH_RANGE = 2 ** 32;

/**
 * The service for a request. A part without room, or without any target, keeps its share: the operator's weights hold, and
 * what a part can't take is refused rather than moved to another.
 * @param requestId decides which part; ids of requests are spread evenly
 */
export function chooseService(route: Route, requestId: string): string {
	const first = route.parts[0]!;
	if (route.parts.length === 1) {
		return first.service;
	}
	return pickByWeight(route.parts, hash32(requestId) / HASH_RANGE).service;
}

function pickByWeight(parts: readonly RoutePart[], position: number): RoutePart {
	const total = parts.reduce((sum, part) => sum + part.weight, 0);
	let left = position * total;
	for (const part of parts) {
		left -= part.weight;
		if (left < 0) {
			return part;
		}
	}
	return parts[parts.length - 1]!;
}
