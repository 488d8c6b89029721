/** An upstream server: heartbeats and answers as PROTOCOL.md describes them. */

import { createServer } from 'node:http';
import { call } from './http.mjs';

/** A server that answers every request that is meant for it, at once. */
export class Server {
	constructor({ id, service, zone, host, port, slots }) {
		Object.assign(this, { id, service, zone, host, port, slots });
		this.sequence = 0;
		/** Requests that were run: id and time. */
		this.runs = [];
		this._http = createServer((request, response) => this._handle(request, response));
	}

	listen() {
		return new Promise((resolve, reject) => {
			this._http.once('error', reject);
			this._http.listen(this.port, this.host, () => {
				this.port = this._http.address().port;
				resolve();
			});
		});
	}

	/** Ends as a crash does: no word to anybody. */
	crash() {
		this._http.closeAllConnections();
		this._http.close();
	}

	/** Body of a heartbeat; its sequence number grows with every call. */
	heartbeat(state = 'ready') {
		this.sequence++;
		return JSON.stringify({
			addr: `${this.host}:${this.port}`,
			info: { service: this.service, version: 'v1', zone: this.zone, slots: this.slots },
			status: { state, seq: this.sequence, cold_left: '0ms' }
		});
	}

	/** Sends a heartbeat to one control instance after the other until it is acknowledged; returns which one did. */
	async beat(controls, port, first = 0) {
		for (let attempt = 0; attempt < 2 * controls.length; attempt++) {
			const control = controls[(first + attempt) % controls.length];
			const options = { body: this.heartbeat() };
			const answer = await call(control.ip, port, 'PUT', `/api/instances/${this.id}`, options).catch(() => undefined);
			if (answer && answer.status >= 200 && answer.status < 300) {
				return control;
			}
		}
		return undefined;
	}

	_handle(request, response) {
		const id = request.headers['request-id'];
		request.resume();
		if (request.url === '/health') {
			response.writeHead(200, { 'Instance-Id': this.id, 'Content-Length': 0 }).end();
			return;
		}
		response.setHeader('Request-Id', id ?? '');
		if (request.headers['expect-instance'] !== this.id) {
			response.writeHead(421, { 'Not-Executed': '1', 'Content-Length': 0 }).end();
			return;
		}
		this.runs.push({ id, at: performance.now() });
		const body = `answer to ${id}`;
		response.writeHead(200, { 'Server-Stamp': `${this.id}.${id}`, 'Content-Length': body.length }).end(body);
	}
}
