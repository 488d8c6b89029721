/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Matches requests to routes by host and longest path prefix. */

import type { Route, RouteTable, ServiceDefinition } from './routeTable.js';
import { TeamIndex } from './teamIndex.js';

/** Index over a route table. */
export class RouteIndex {
	private readonly _byHost = new Map<string, Map<string, Route>>();
	private readonly _services = new Map<string, ServiceDefinition>();
	/** Undefined when requests need no key. */
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
	 * Returns the route with the longest matching path prefix.
	 * @param host `Host` header as sent by the caller; a port and letter case are ignored
	 * @param path request path; a query string is ignored
	 */
	find(host: string, path: string): Route | undefined {
		const prefixes = this._byHost.get(normalizeHost(host));
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

	service(name: string): ServiceDefinition | undefined {
		return this._services.get(name);
	}
}

function normalizeHost(host: string): string {
	const colon = host.indexOf(':');
	return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
