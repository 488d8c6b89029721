/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Finds the route of a request: the longest path prefix among the routes of its host. */

import type { Route, RouteTable, ServiceDefinition } from './routeTable.js';
import { TeamIndex } from './teamIndex.js';

/** A route table prepared for look-ups. */
export class RouteIndex {
	private readonly _byHost = new Map<string, Map<string, Route>>();
	private readonly _services = new Map<string, ServiceDefinition>();
	/** The teams; undefined where requests need no key. */
	readonly teams: TeamIndex | undefined;

	constructor(readonly table: RouteTable) {
		this.teams = table.teams && new TeamIndex(table.teams);
		for (const route of table.routes) {
			const host = route.host.toLowerCase();
			let prefixes = this._byHost.get(host);
			if (!prefixes) {
				prefixes = new Map();
				this._byHost.set(host, prefixes);
			}
			prefixes.set(route.pathPrefix, route);
		}
		table.services.forEach(service => this._services.set(service.name, service));
	}

	/**
	 * The route of a request.
	 * @param host host as the caller wrote it; a port behind it does not count
	 * @param path path with or without a query
	 */
	find(host: string, path: string): Route | undefined {
		const prefixes = this._byHost.get(hostName(host));
		if (!prefixes) {
			return undefined;
		}
		const query = path.indexOf('?');
		let end = query < 0 ? path.length : query;
		while (end > 0) {
			end = path.lastIndexOf('/', end - 1);
			const route = end < 0 ? undefined : prefixes.get(path.slice(0, end + 1));
			if (route) {
				return route;
			}
		}
		return undefined;
	}

	/** The definition of a service. */
	service(name: string): ServiceDefinition | undefined {
		return this._services.get(name);
	}
}

function hostName(host: string): string {
	const colon = host.indexOf(':');
	return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
