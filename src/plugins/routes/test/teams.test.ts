/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Access by team key, home regions, and validation of team keys. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RefusalReason } from '../../../base/verdict.js';
import { RouteIndex } from '../common/routeIndex.js';
import type { Route, RouteTable, Team } from '../common/routeTable.js';
import { validateRouteTable } from '../common/routeTableValidation.js';
import { checkAccess } from '../common/teamAccess.js';
import { digestKey } from '../common/teamIndex.js';
import { SAMPLE_ROUTE, sampleTable } from './sampleTable.js';

function team(name: string, keys: readonly string[], change: Partial<Team> = {}): Team {
	return { name, keyDigests: keys.map(digestKey), rank: 1, limit: undefined, homeRegions: [], ...change };
}

function table(teams: readonly Team[] | undefined): RouteTable {
	return sampleTable([SAMPLE_ROUTE], teams);
}

function access(teams: readonly Team[] | undefined, key: string | undefined, route: Partial<Route> = {}) {
	return checkAccess(new RouteIndex(table(teams)), { ...SAMPLE_ROUTE, ...route }, key && digestKey(key));
}

test('a key identifies its team; unknown and missing keys are refused, unless the route is public', () => {
	const teams = [team('a', ['k1', 'k2']), team('b', ['k3'])];
	for (const [key, name] of [
		['k1', 'a'],
		['k2', 'a'],
		['k3', 'b']
	] as const) {
		const granted = access(teams, key);
		assert.equal(granted.isGranted && granted.team?.name, name);
	}
	for (const key of ['k4', undefined]) {
		const denied = access(teams, key);
		assert.equal(!denied.isGranted && denied.reason, RefusalReason.UnknownKey);
		assert.equal(access(teams, key, { isPublic: true }).isGranted, true);
	}
});

test('a table without teams needs no key; a table whose teams have no keys refuses all requests', () => {
	assert.equal(access(undefined, undefined).isGranted, true);
	assert.equal(access([team('a', [])], 'k1').isGranted, false);
});

test('the home regions of route and team are intersected, and an empty intersection is refused', () => {
	const teams = [team('a', ['k'], { homeRegions: ['north', 'south'] })];
	const allowedRegions = (homeRegions: readonly string[]): unknown => {
		const result = access(teams, 'k', { homeRegions });
		return result.isGranted ? result.homeRegions : result.reason;
	};
	assert.deepEqual(allowedRegions([]), ['north', 'south']);
	assert.deepEqual(allowedRegions(['south', 'central']), ['south']);
	assert.equal(allowedRegions(['central']), RefusalReason.NoHomeRegion);
});

test('a key of two teams is an issue that names both teams and does not contain the key', () => {
	const [issue] = validateRouteTable(table([team('a', ['secret']), team('b', ['secret'])]));
	assert.match(`${issue?.field} ${issue?.allowed}`, /'b'.*'a'/);
	assert.doesNotMatch(JSON.stringify(issue), /secret/);
	assert.deepEqual(validateRouteTable(table([team('a', ['k', 'k'])])), []);
	assert.equal(validateRouteTable(table([team('a', ['k']), team('a', ['l'])])).length, 1);
});
