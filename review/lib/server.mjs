/** A stand-in for an upstream of the users' platform, as PROTOCOL.md describes it. */

import { createServer } from 'node:net';
import { delay, send } from './http.mjs';

const BEAT_MS = 1500;
const CALL_MS = 1000;
const QUEUE = 9;

const REASONS = {
	200: 'OK',
	400: 'Bad Request',
	404: 'Not Found',
	421: 'Misdirected Request',
	429: 'Too Many Requests',
	503: 'Service Unavailable'
};

/** One request as it was read from a connection. */
function parseRequest(buffer) {
	const end = buffer.indexOf('\r\n\r\n');
	if (end < 0) {
		return undefined;
	}
	const [first, ...lines] = buffer.subarray(0, end).toString('latin1').split('\r\n');
	const [method, path] = first.split(' ');
	const headers = Object.fromEntries(
		lines.map(line => {
			const colon = line.indexOf(':');
			return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
		})
	);
	const length = Number(headers['content-length'] ?? 0);
	if (buffer.length < end + 4 + length) {
		return undefined;
	}
	const body = buffer.subarray(end + 4, end + 4 + length);
	return { method, path, headers, body, size: end + 4 + length };
}

/** Bytes of an answer. */
function formatAnswer(status, headers, body) {
	const all = { ...headers, 'Content-Length': Buffer.byteLength(body) };
	const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
	return `HTTP/1.1 ${status} ${REASONS[status]}\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

export class Server {
	/**
	 * @param options.id name of this incarnation
	 * @param options.turnsAway called with a request; true where the server turns it away with 429, which says that it has not run
	 * @param options.extraAnswer whether a second copy of an answer to a request that was turned away comes late, in the place where the
	 * next answer on that connection is due
	 */
	constructor(record, controls, options) {
		this._record = record;
		this._controls = controls;
		this.options = { slots: 3, workMs: 200, turnsAway: () => false, extraAnswer: () => false, ...options };
		/** Every run with its time, the id of its request and what the request said. */
		this.runs = [];
		this.running = 0;
		this.state = 'ready';
		this._waiting = [];
		this._sockets = new Set();
		this._seq = 0;
		this._node = Math.floor(Math.random() * controls.length);
		this._isEnded = false;
	}

	get address() {
		return `${this.options.host}:${this.options.port}`;
	}

	listen() {
		this._listener = createServer({ noDelay: true }, socket => this._accept(socket));
		return new Promise((resolve, reject) => {
			this._listener.once('error', reject);
			this._listener.listen(this.options.port, this.options.host, resolve);
		});
	}

	/** Sends heartbeats until the server ends. */
	startBeating() {
		void (async () => {
			while (!this._isEnded) {
				const started = performance.now();
				if (this.state === 'ready') {
					await this.beat();
				}
				await delay(Math.max(0, BEAT_MS - (performance.now() - started)));
			}
		})();
	}

	/** One heartbeat, sent to one node after the other until one acknowledges it. */
	async beat() {
		const seq = ++this._seq;
		const body = this.beatBody(seq, this.state);
		for (let i = 0; i < 2 * this._controls.length && !this._isEnded; i++) {
			const control = this._controls[this._node % this._controls.length];
			const answer = await this._sendBeat(control, body);
			if (answer.status === 200) {
				return control;
			}
			this._node++;
		}
		return undefined;
	}

	beatBody(seq, state) {
		const { service, zone, slots } = this.options;
		return JSON.stringify({
			addr: this.address,
			info: { service, version: 'v1', zone, slots },
			status: { state, seq, cold_left: '0ms' }
		});
	}

	_sendBeat(control, body) {
		return send('PUT', `${control.controlUrl}/api/instances/${this.options.id}`, {
			headers: { 'Content-Type': 'application/json' },
			body,
			timeoutMs: CALL_MS
		});
	}

	/** Says that it leaves, until a node acknowledges that; resolves to when that was. */
	async sayDraining() {
		this.state = 'draining';
		const control = await this.beat();
		const at = this._record.now();
		this._record.say(
			`server ${this.options.id} said draining: ${control ? `acknowledged by ${control.node}` : 'no answer'}`
		);
		return control && at;
	}

	/** Takes itself off the list and ends. */
	async leave() {
		for (const control of this._controls) {
			const url = `${control.controlUrl}/api/instances/${this.options.id}`;
			const answer = await send('DELETE', url, { timeoutMs: CALL_MS });
			if (answer.status >= 200 && answer.status < 300) {
				this._record.say(`server ${this.options.id} left`);
				break;
			}
		}
		this.end();
	}

	/** Ends without a word. */
	end() {
		this._isEnded = true;
		this._listener?.close();
		this._sockets.forEach(socket => socket.destroy());
	}

	_accept(socket) {
		const connection = { socket, buffer: Buffer.alloc(0), isBusy: false, late: undefined, isOpen: true };
		this._sockets.add(socket);
		socket.on('data', data => {
			connection.buffer = Buffer.concat([connection.buffer, data]);
			this._next(connection);
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			connection.isOpen = false;
			this._sockets.delete(socket);
		});
	}

	_next(connection) {
		if (connection.isBusy) {
			return;
		}
		const request = parseRequest(connection.buffer);
		if (!request) {
			return;
		}
		connection.buffer = connection.buffer.subarray(request.size);
		connection.isBusy = true;
		if (connection.late !== undefined) {
			this._record.note(`server ${this.options.id} sends its earlier answer once more: ${connection.late.id}`);
			connection.socket.write(connection.late.bytes);
			connection.late = undefined;
		}
		this._handle(connection, request);
	}

	_handle(connection, request) {
		const { id, turnsAway, extraAnswer, slots } = this.options;
		const requestId = request.headers['request-id'];
		if (request.path === '/health') {
			const status = this.state === 'ready' ? 200 : 503;
			this._answer(connection, status, { 'Instance-Id': id }, '');
		} else if (requestId === undefined) {
			this._answer(connection, 400, { 'Not-Executed': '1' }, '');
		} else if ((request.headers['expect-instance'] ?? id) !== id) {
			this._answer(connection, 421, { 'Request-Id': requestId, 'Instance-Id': id, 'Not-Executed': '1' }, '');
		} else if (turnsAway(request, this)) {
			this._record.note(`server ${id} turns ${requestId} away (429, Not-Executed)`);
			const bytes = this._answer(connection, 429, { 'Request-Id': requestId, 'Not-Executed': '1' }, '');
			if (extraAnswer(request, this)) {
				connection.late = { id: requestId, bytes };
			}
		} else if (this.running < slots) {
			this._run(connection, request);
		} else if (this._waiting.length < QUEUE) {
			this._waiting.push({ connection, request });
		} else {
			this._answer(connection, 503, { 'Request-Id': requestId, 'Not-Executed': '1' }, '');
		}
	}

	_run(connection, request) {
		const { id, workMs } = this.options;
		const requestId = request.headers['request-id'];
		this.running++;
		const run = { at: this._record.now(), requestId, path: request.path, isDone: false };
		this.runs.push(run);
		this._record.note(`server ${id} runs ${requestId}`);
		const finish = () => {
			this.running--;
			run.isDone = true;
			this._answer(
				connection,
				200,
				{ 'Request-Id': requestId, 'Server-Stamp': `${id}.${requestId}` },
				`done ${requestId}`
			);
			const next = this._waiting.shift();
			if (next) {
				this._run(next.connection, next.request);
			}
		};
		setTimeout(finish, typeof workMs === 'function' ? workMs(request) : workMs);
	}

	_answer(connection, status, headers, body) {
		const load = `${this.running},${this._waiting.length},${this.options.slots}`;
		const bytes = formatAnswer(status, { ...headers, 'Server-Load': load }, body);
		if (connection.isOpen) {
			connection.socket.write(bytes);
		}
		connection.isBusy = false;
		setImmediate(() => this._next(connection));
		return bytes;
	}
}
