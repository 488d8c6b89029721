/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Validates route tables before they are published. */

import { isUsableKey } from '../../../base/records.js';
import type { Route, RouteTable, ServiceDefinition, Team } from './routeTable.js';

/** An invalid field and what is allowed there. */
export interface RouteTableIssue {
	readonly field: string;
	readonly allowed: string;
}

function validateWeightedServices(route: Route, services: ReadonlySet<string>, issues: RouteTableIssue[]): void {
	const field = `route '${route.name}'`;
	if (route.parts.length === 0) {
		issues.push({ field: `${field} service`, allowed: 'a service or a split of services' });
	}
	for (const part of route.parts) {
		if (!services.has(part.service)) {
			issues.push({ field: `${field} service '${part.service}'`, allowed: [...services].join(', ') });
		}
		if (!(part.weight >= 0)) {
			issues.push({ field: `${field} weight ${part.weight}`, allowed: '0 or more' });
		}
	}
	if (route.parts.length > 0 && !route.parts.some(part => part.weight > 0)) {
		issues.push({ field: `${field} weights`, allowed: 'at least one above 0' });
	}
}

function validateRoute(route: Route, services: ReadonlySet<string>, issues: RouteTableIssue[]): void {
	const field = `route '${route.name}'`;
	if (route.name === '') {
		issues.push({ field: 'route name', allowed: 'a non-empty string' });
	}
	if (route.host.trim() === '') {
		issues.push({ field: `${field} host`, allowed: 'a string that is not blank' });
	}
	if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
		issues.push({ field: `${field} path prefix`, allowed: 'a string that begins and ends with a slash' });
	}
	if (!(route.timeoutMs > 0)) {
		issues.push({ field: `${field} timeout`, allowed: 'more than 0' });
	}
	if (!Number.isInteger(route.attempts) || route.attempts < 1) {
		issues.push({ field: `${field} attempts`, allowed: 'a whole number, 1 or more' });
	}
	validateWeightedServices(route, services, issues);
}

/** Messages between instances have the name as a key. */
function validateKey(name: string, field: string, issues: RouteTableIssue[]): void {
	if (name === '' || !isUsableKey(name)) {
		issues.push({ field, allowed: 'a non-empty string of Unicode text other than __proto__' });
	}
}

function validateService(service: ServiceDefinition, issues: RouteTableIssue[]): void {
	validateKey(service.name, 'service name', issues);
	if (!(service.maxConnections > 0)) {
		issues.push({ field: `service '${service.name}' connections`, allowed: 'more than 0' });
	}
	if (!(service.coldPerSecond >= 0) || !(service.coldStartMs >= 0)) {
		issues.push({ field: `service '${service.name}' cold start`, allowed: '0 or more' });
	}
}

function validateTeam(team: Team, issues: RouteTableIssue[]): void {
	validateKey(team.name, 'team name', issues);
	if (team.limit && !(team.limit.perSecond > 0 && team.limit.burst >= 0)) {
		issues.push({ field: `team '${team.name}' limit`, allowed: 'a rate above 0 and a burst of 0 or more' });
	}
}

/** A key must belong to one team only. The issue names both teams and leaves out the key. */
function validateKeysAreUnique(teams: readonly Team[], issues: RouteTableIssue[]): void {
	const owners = new Map<string, string>();
	for (const { name, keyDigests } of teams) {
		for (const digest of keyDigests) {
			const owner = owners.get(digest);
			if (owner !== undefined && owner !== name) {
				issues.push({ field: `team '${name}' keys`, allowed: `keys that team '${owner}' does not use` });
			}
			owners.set(digest, name);
		}
	}
}

function validateUnique(values: readonly string[], field: string, issues: RouteTableIssue[]): void {
	const seen = new Set<string>();
	for (const value of values) {
		if (seen.has(value)) {
			issues.push({ field: `${field} '${value}'`, allowed: 'no duplicates' });
		}
		seen.add(value);
	}
}

/** Returns all issues of a table; a table without issues may be published. */
export function validateRouteTable(table: RouteTable): RouteTableIssue[] {
	const issues: RouteTableIssue[] = [];
	if (!Number.isSafeInteger(table.version) || table.version < 1) {
		issues.push({ field: 'version', allowed: 'a whole number, 1 or more' });
	}
	const services = new Set(table.services.map(service => service.name));
	table.services.forEach(service => validateService(service, issues));
	table.routes.forEach(route => validateRoute(route, services, issues));
	const teams = table.teams ?? [];
	teams.forEach(team => validateTeam(team, issues));
	validateKeysAreUnique(teams, issues);
	validateUnique(
		teams.map(team => team.name),
		'team',
		issues
	);
	validateUnique(
		table.services.map(service => service.name),
		'service',
		issues
	);
	validateUnique(
		table.routes.map(route => `${route.host} ${route.pathPrefix}`),
		'host and path prefix',
		issues
	);
	return issues;
}
