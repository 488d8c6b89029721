/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Teams: whose key a request shows, and where it may be served. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RefusalReason } from '../../../base/verdict.js';
import { RouteIndex } from '../common/routeIndex.js';
import type { Route, RouteTable, Team } from '../common/routeTable.js';
import { checkRouteTable } from '../common/routeTableCheck.js';
import { accessOf } from '../common/teamAccess.js';
import { digestKey } from '../common/teamIndex.js';
import { SAMPLE_ROUTE, sampleTable } from './sampleTable.js';

function team(name: string, keys: readonly string[], change: Partial<Team> = {}): Team {
	return { name, keyDigests: keys.map(digestKey), rank: 1, limit: undefined, homeRegions: [], ...change };
}

function table(teams: readonly Team[] | undefined): RouteTable {
	return sampleTable([SAMPLE_ROUTE], teams);
}

function access(teams: readonly Team[] | undefined, key: string | undefined, route: Partial<Route> = {}) {
	return accessOf(new RouteIndex(table(teams)), { ...SAMPLE_ROUTE, ...route }, key && digestKey(key));
}

test('a key tells its team; unknown and missing ones are refused, unless the route is public', () => {
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

test('a table without teams asks for no key; one whose teams hold no key lets nobody in', () => {
	assert.equal(access(undefined, undefined).isGranted, true);
	assert.equal(access([team('a', [])], 'k1').isGranted, false);
});

test('the homes of the route and of the team both bind, and none in common is a refusal of its own', () => {
	const teams = [team('a', ['k'], { homeRegions: ['north', 'south'] })];
	const homesOf = (homeRegions: readonly string[]): unknown => {
		const result = access(teams, 'k', { homeRegions });
		return result.isGranted ? result.homeRegions : result.reason;
	};
	assert.deepEqual(homesOf([]), ['north', 'south']);
	assert.deepEqual(homesOf(['south', 'central']), ['south']);
	assert.equal(homesOf(['central']), RefusalReason.NoHomeRegion);
});

test('two teams with one key are a fault that names both and shows no key', () => {
	const [fault] = checkRouteTable(table([team('a', ['secret']), team('b', ['secret'])]));
	assert.match(`${fault?.field} ${fault?.allowed}`, /'b'.*'a'/);
	assert.doesNotMatch(JSON.stringify(fault), /secret/);
	assert.deepEqual(checkRouteTable(table([team('a', ['k', 'k'])])), []);
	assert.equal(checkRouteTable(table([team('a', ['k']), team('a', ['l'])])).length, 1);
});
