/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How a route's requests are divided among its services. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RepeatRule, type Route, type RoutePart } from '../../routes/common/routeTable.js';
import { chooseService } from '../common/placement/partChoice.js';

const REQUESTS = 2000;
/** Three standard deviations of a share of a half among so many requests are 0.034. */
const MOST_OFF = 0.04;

function routeWith(parts: readonly RoutePart[]): Route {
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

test('each part gets its weight of the requests, whatever room it has', () => {
	const route = routeWith([
		{ service: 'a', weight: 60 },
		{ service: 'b', weight: 40 }
	]);
	assert.ok(Math.abs(shareOf('a', route) - 0.6) < MOST_OFF);
	assert.ok(Math.abs(shareOf('b', route) - 0.4) < MOST_OFF);
});

test('a part of weight 0 gets nothing', () => {
	const route = routeWith([
		{ service: 'a', weight: 0 },
		{ service: 'b', weight: 1 }
	]);
	assert.equal(shareOf('a', route), 0);
});

test('a request keeps its part when it is tried again', () => {
	const route = routeWith([
		{ service: 'a', weight: 1 },
		{ service: 'b', weight: 1 }
	]);
	assert.equal(chooseService(route, 'same'), chooseService(route, 'same'));
});
