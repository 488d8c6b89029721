/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Decides whether a route table may be published. */

import type { Route, RouteTable, ServiceDefinition, Team } from './routeTable.js';

/** One fault: the field and what is allowed there. */
export interface RouteTableFault {
	readonly field: string;
	readonly allowed: string;
}

function checkParts(route: Route, services: ReadonlySet<string>, faults: RouteTableFault[]): void {
	const field = `route '${route.name}'`;
	if (route.parts.length === 0) {
		faults.push({ field: `${field} service`, allowed: 'a service or a split of services' });
	}
	for (const part of route.parts) {
		if (!services.has(part.service)) {
			faults.push({ field: `${field} service '${part.service}'`, allowed: [...services].join(', ') });
		}
		if (!(part.weight >= 0)) {
			faults.push({ field: `${field} weight ${part.weight}`, allowed: '0 or more' });
		}
	}
	if (route.parts.length > 0 && !route.parts.some(part => part.weight > 0)) {
		faults.push({ field: `${field} weights`, allowed: 'at least one above 0' });
	}
}

function checkRoute(route: Route, services: ReadonlySet<string>, faults: RouteTableFault[]): void {
	const field = `route '${route.name}'`;
	if (route.name === '') {
		faults.push({ field: 'route name', allowed: 'a text that is not empty' });
	}
	if (route.host === '') {
		faults.push({ field: `${field} host`, allowed: 'a text that is not empty' });
	}
	if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
		faults.push({ field: `${field} path prefix`, allowed: 'a text that begins and ends with a slash' });
	}
	if (!(route.timeoutMs > 0)) {
		faults.push({ field: `${field} timeout`, allowed: 'more than 0' });
	}
	if (!Number.isInteger(route.attempts) || route.attempts < 1) {
		faults.push({ field: `${field} attempts`, allowed: 'a whole number from 1' });
	}
	checkParts(route, services, faults);
}

function checkService(service: ServiceDefinition, faults: RouteTableFault[]): void {
	if (service.name === '') {
		faults.push({ field: 'service name', allowed: 'a text that is not empty' });
	}
	if (!(service.maxConnections > 0)) {
		faults.push({ field: `service '${service.name}' connections`, allowed: 'more than 0' });
	}
	if (!(service.coldPerSecond >= 0) || !(service.coldStartMs >= 0)) {
		faults.push({ field: `service '${service.name}' cold start`, allowed: '0 or more' });
	}
}

function checkTeam(team: Team, faults: RouteTableFault[]): void {
	if (team.name === '') {
		faults.push({ field: 'team name', allowed: 'a text that is not empty' });
	}
	if (team.limit && !(team.limit.perSecond > 0 && team.limit.burst >= 0)) {
		faults.push({ field: `team '${team.name}' limit`, allowed: 'a rate above 0 and a burst of 0 or more' });
	}
}

/** A key tells one team; who holds it is named without the key. */
function checkKeys(teams: readonly Team[], faults: RouteTableFault[]): void {
	const holders = new Map<string, string>();
	for (const { name, keyDigests } of teams) {
		for (const digest of keyDigests) {
			const holder = holders.get(digest);
			if (holder !== undefined && holder !== name) {
				faults.push({ field: `team '${name}' keys`, allowed: `none that team '${holder}' has` });
			}
			holders.set(digest, name);
		}
	}
}

function findRepeated(values: readonly string[], field: string, faults: RouteTableFault[]): void {
	const seen = new Set<string>();
	for (const value of values) {
		if (seen.has(value)) {
			faults.push({ field: `${field} '${value}'`, allowed: 'each once' });
		}
		seen.add(value);
	}
}

/** Every fault of a table; none means that it may be published. */
export function checkRouteTable(table: RouteTable): RouteTableFault[] {
	const faults: RouteTableFault[] = [];
	if (!Number.isSafeInteger(table.version) || table.version < 1) {
		faults.push({ field: 'version', allowed: 'a whole number from 1' });
	}
	const services = new Set(table.services.map(service => service.name));
	table.services.forEach(service => checkService(service, faults));
	table.routes.forEach(route => checkRoute(route, services, faults));
	const teams = table.teams ?? [];
	teams.forEach(team => checkTeam(team, faults));
	checkKeys(teams, faults);
	findRepeated(
		teams.map(team => team.name),
		'team',
		faults
	);
	findRepeated(
		table.services.map(service => service.name),
		'service',
		faults
	);
	findRepeated(
		table.routes.map(route => `${route.host} ${route.pathPrefix}`),
		'host and path prefix',
		faults
	);
	return faults;
}
