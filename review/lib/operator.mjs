/** A stand-in for the operator, as PROTOCOL.md describes it. */

import { delay, send } from './http.mjs';

const CALL_MS = 1000;
const FINAL = new Set([400, 409, 412, 413, 422]);

export class Operator {
	constructor(record, controls) {
		this._record = record;
		this._controls = controls;
	}

	/**
	 * Sends an order to one node after the other until there is a clear answer; resolves to its status and when it came.
	 * @param options.first the node that is asked first
	 * @param options.withinMs the order is not sent again after this time
	 */
	async order(method, path, { headers, body, first, tries = 12, withinMs = Number.POSITIVE_INFINITY } = {}) {
		const others = this._controls.filter(control => control !== first);
		const nodes = first ? [first, ...others] : others;
		let pauseMs = 50;
		const sentAt = this._record.now();
		for (let i = 0; i < tries && this._record.now() - sentAt <= withinMs; i++) {
			const control = nodes[i % nodes.length];
			this._record.note(`operator sends ${method} ${path} to ${control.node}`);
			const answer = await send(method, `${control.controlUrl}${path}`, { headers, body, timeoutMs: CALL_MS });
			this._record.note(`operator got ${answer.status ?? answer.error} from ${control.node} for ${method} ${path}`);
			if (answer.status >= 200 && answer.status < 300) {
				const at = this._record.now();
				this._record.say(`${method} ${path} acknowledged by ${control.node}`);
				return { status: answer.status, at, control };
			}
			if (FINAL.has(answer.status)) {
				return { status: answer.status, at: this._record.now(), control, body: answer.body };
			}
			await delay(pauseMs);
			pauseMs = Math.min(500, pauseMs * 2);
		}
		return { status: undefined, at: this._record.now() };
	}

	/** Sends a configuration. */
	configure(document, base, options = {}) {
		const headers = { 'If-Match': String(base), 'Content-Type': 'application/json' };
		return this.order('PUT', '/api/config', { ...options, headers, body: JSON.stringify(document) });
	}
}

/** A configuration document. */
export function createConfig(version, routes, services) {
	return {
		version,
		routes: {
			columns: [
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
			],
			rows: routes.map(route => [
				route.name,
				route.host,
				route.prefix,
				route.kind,
				route.timeout ?? '4000ms',
				route.slo ?? '600ms',
				1,
				route.service,
				route.attempts ?? 2,
				true,
				[],
				null
			])
		},
		services: {
			columns: ['name', 'health_path', 'max_conns', 'protocol', 'tls', 'cold_start', 'cold_per_s'],
			rows: services.map(name => [name, '/health', 330, 'h1', false, '3s', 3.5])
		},
		limits: { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout: '3000ms', idle_timeout: '15000ms' }
	};
}
