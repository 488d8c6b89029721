/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Validation of route tables, and route matching. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RouteIndex } from '../common/routeIndex.js';
import type { Route, RouteTable } from '../common/routeTable.js';
import { validateRouteTable } from '../common/routeTableValidation.js';
import { SAMPLE_ROUTE, sampleTable } from './sampleTable.js';

function route(change: Partial<Route>): Route {
	return { ...SAMPLE_ROUTE, ...change };
}

function table(...routes: Route[]): RouteTable {
	return sampleTable(routes);
}

test('a valid table has no issues', () => {
	assert.deepEqual(validateRouteTable(table(route({}), route({ pathPrefix: '/b/' }))), []);
});

for (const [what, change] of [
	['an unknown service', { parts: [{ service: 'other', weight: 1 }] }],
	['a weight below 0', { parts: [{ service: 's', weight: -1 }] }],
	['a timeout of 0', { timeoutMs: 0 }],
	['no attempts', { attempts: 0 }],
	['an empty host', { host: '' }],
	['a prefix without its slashes', { pathPrefix: 'a' }]
] as const) {
	test(`${what} is an issue that names the field and what is allowed`, () => {
		const [issue] = validateRouteTable(table(route(change)));
		assert.ok(issue && issue.field !== '' && issue.allowed !== '');
	});
}

test('two routes for the same host and prefix, and a version of 0, are issues', () => {
	assert.equal(validateRouteTable(table(route({}), route({ name: 'other' }))).length, 1);
	assert.equal(validateRouteTable({ ...table(route({})), version: 0 }).length, 1);
});

/** Guards against names that messages between instances can't have as a key. */
test('a service or a team that messages cannot name is an issue', () => {
	const valid = table(route({}));
	const service = { ...valid.services[0]!, name: '__proto__' };
	const team = { name: '__proto__', keyDigests: [], rank: 0, homeRegions: [], limit: undefined };
	const issues = validateRouteTable({ ...valid, services: [...valid.services, service], teams: [team] });
	assert.deepEqual(
		issues.map(({ field }) => field),
		['service name', 'team name']
	);
});

test('the longest path prefix of the host is matched; query and port are ignored', () => {
	const index = new RouteIndex(table(route({ name: 'short' }), route({ name: 'long', pathPrefix: '/a/b/' })));
	assert.equal(index.find('shop.example', '/a/x')?.name, 'short');
	assert.equal(index.find('SHOP.example:8080', '/a/b/c?d=/z/')?.name, 'long');
	assert.equal(index.find('shop.example', '/a?x=/a/b/'), undefined);
	assert.equal(index.find('other.example', '/a/x'), undefined);
});
