/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Division of a route's requests among its services by weight. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RepeatRule, type Route, type WeightedService } from '../../routes/common/routeTable.js';
import { chooseService } from '../common/weightedServiceChoice.js';

const REQUESTS = 2000;
/** Tolerance; three standard deviations of a share of 0.5 with this number of requests are 0.034. */
const MAX_DEVIATION = 0.04;

function routeWith(parts: readonly WeightedService[]): Route {
	return {
		name: 'r',
		host: 'h',
		pathPrefix: '/p/',
		repeatRule: RepeatRule.Repeatable,
		timeoutMs: 1000,
		objectiveMs: 100,
		rank: 1,
		attempts: 2,
		isSticky: false,
		homeRegions: [],
		isPublic: true,
		parts
	};
}

function shareOf(service: string, route: Route): number {
	let count = 0;
	for (let i = 0; i < REQUESTS; i++) {
		count += chooseService(route, `request-${i}`) === service ? 1 : 0;
	}
	return count / REQUESTS;
}

test('each service gets the fraction of the requests that its weight specifies', () => {
	const route = routeWith([
		{ service: 'a', weight: 60 },
		{ service: 'b', weight: 40 }
	]);
	assert.ok(Math.abs(shareOf('a', route) - 0.6) < MAX_DEVIATION);
	assert.ok(Math.abs(shareOf('b', route) - 0.4) < MAX_DEVIATION);
});

test('a service of weight 0 gets no requests', () => {
	const route = routeWith([
		{ service: 'a', weight: 0 },
		{ service: 'b', weight: 1 }
	]);
	assert.equal(shareOf('a', route), 0);
});

test('a request keeps its service when it is retried', () => {
	const route = routeWith([
		{ service: 'a', weight: 1 },
		{ service: 'b', weight: 1 }
	]);
	assert.equal(chooseService(route, 'same'), chooseService(route, 'same'));
});
