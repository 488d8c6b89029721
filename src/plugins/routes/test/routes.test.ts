/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Route tables: which are refused, and which route a request takes. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RouteIndex } from '../common/routeIndex.js';
import type { Route, RouteTable } from '../common/routeTable.js';
import { checkRouteTable } from '../common/routeTableCheck.js';
import { SAMPLE_ROUTE, sampleTable } from './sampleTable.js';

function route(change: Partial<Route>): Route {
	return { ...SAMPLE_ROUTE, ...change };
}

function table(...routes: Route[]): RouteTable {
	return sampleTable(routes);
}

test('a sound table has no fault', () => {
	assert.deepEqual(checkRouteTable(table(route({}), route({ pathPrefix: '/b/' }))), []);
});

for (const [what, change] of [
	['an unknown service', { parts: [{ service: 'other', weight: 1 }] }],
	['a weight below 0', { parts: [{ service: 's', weight: -1 }] }],
	['a time-out of 0', { timeoutMs: 0 }],
	['no attempts', { attempts: 0 }],
	['an empty host', { host: '' }],
	['a prefix without its slashes', { pathPrefix: 'a' }]
] as const) {
	test(`${what} is a fault that names the field and what is allowed`, () => {
		const [fault] = checkRouteTable(table(route(change)));
		assert.ok(fault && fault.field !== '' && fault.allowed !== '');
	});
}

test('two routes for one host and prefix, and a version of 0, are faults', () => {
	assert.equal(checkRouteTable(table(route({}), route({ name: 'other' }))).length, 1);
	assert.equal(checkRouteTable({ ...table(route({})), version: 0 }).length, 1);
});

test('the longest prefix of the host decides; the query and a port do not count', () => {
	const index = new RouteIndex(table(route({ name: 'short' }), route({ name: 'long', pathPrefix: '/a/b/' })));
	assert.equal(index.find('shop.example', '/a/x')?.name, 'short');
	assert.equal(index.find('SHOP.example:8080', '/a/b/c?d=/z/')?.name, 'long');
	assert.equal(index.find('shop.example', '/a?x=/a/b/'), undefined);
	assert.equal(index.find('other.example', '/a/x'), undefined);
});
