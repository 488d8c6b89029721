/** The operator: a configuration as PROTOCOL.md shows it, sent until it is taken. */

import { call } from './http.mjs';
import { sleep } from './system.mjs';

/** Host of all routes. */
export const HOST = 'ficu95.example';

const ROUTE_COLUMNS = [
	'name',
	'host',
	'path_prefix',
	'kind',
	'timeout',
	'slo',
	'priority',
	'service',
	'attempts',
	'sticky',
	'home_regions',
	'split'
];
const SERVICE_COLUMNS = ['name', 'health_path', 'max_conns', 'protocol', 'tls', 'cold_start', 'cold_per_s'];

/** A configuration with one route for each of the given prefixes, kinds and services. */
export function configuration(version, routes) {
	const services = [...new Set(routes.map(({ service }) => service))];
	return JSON.stringify({
		version,
		routes: {
			columns: ROUTE_COLUMNS,
			rows: routes.map(({ prefix, kind, service }, i) => [
				`r-${i + 1}`,
				HOST,
				prefix,
				kind,
				'4000ms',
				'600ms',
				1,
				service,
				2,
				false,
				[],
				null
			])
		},
		services: {
			columns: SERVICE_COLUMNS,
			rows: services.map(name => [name, '/health', 330, 'h1', false, '0ms', 1000])
		},
		limits: { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout: '3000ms', idle_timeout: '15000ms' }
	});
}

/** Sends a configuration to one control instance after the other until it is taken. */
export async function publish(system, version, base, routes) {
	const body = configuration(version, routes);
	for (let attempt = 0; attempt < 150; attempt++) {
		const { ip } = system.controls[attempt % system.controls.length];
		const options = { body, headers: { 'If-Match': String(base) } };
		const answer = await call(ip, system.controlPort(), 'PUT', '/api/config', options).catch(() => undefined);
		if (answer?.status === 200) {
			return;
		}
		await sleep(100);
	}
	throw new Error('the configuration was not taken');
}
