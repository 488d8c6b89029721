/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A test target: checks the expected instance, echoes the request id, reports its load, and injects the faults that a test sets. */

import {
	createServer,
	type IncomingMessage,
	type OutgoingHttpHeaders,
	type Server,
	type ServerResponse
} from 'node:http';

/**
 * A fault with which a target handles a request:
 * - `reset`: runs it and resets the connection
 * - `cut`: runs it and resets the connection after half of the response body
 * - `full`: rejects it with 503 as not executed
 * - `extra`: runs it and sends a second response that belongs to no request
 * - `silent`: runs it and never responds
 * - `unframed`: runs it and sends a response without a length, ended by the end of the connection
 * - `unframed-half`: runs it, sends half of a response without a length, and leaves the connection open
 * - `chunked-half`: runs it and closes the connection in order after half of a chunked response
 * - `other-id`: runs it and responds with the id of another request
 * - `error`: runs it and responds with 500
 */
export type InjectedFault =
	'reset' | 'cut' | 'full' | 'extra' | 'silent' | 'unframed' | 'unframed-half' | 'chunked-half' | 'other-id' | 'error';

/** A request as a target received it. */
export interface ReceivedRequest {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	/** Value of the Deadline-Ms header. */
	readonly remainingMs: number;
	/** Value of the Expect-Instance header: id of the target that the request is meant for. */
	readonly expected: string;
	/** Header values by lower-case name. */
	readonly headers: IncomingMessage['headers'];
	/** Whether the connection closed before the whole response was sent. */
	closedEarly: boolean;
}

/** A request that was rejected without being executed. */
export interface RejectedRequest {
	readonly id: string;
	/** Time of arrival, on the monotonic clock. */
	readonly at: number;
}

/** Options of a test target. */
export interface TestTargetOptions {
	readonly id: string;
	readonly host: string;
	readonly port: number;
	readonly slots: number;
	/** Time that each request takes to run. */
	readonly workMs: number;
	/** Maximum number of requests that wait for a slot, more are rejected as not executed; all run at once if omitted. */
	readonly queueLength?: number;
	/** Length of the response body after the request id and a colon. */
	readonly paddingBytes: number;
	/** Time that a particular request takes to run; `workMs` where it is undefined. */
	readonly workMsOf?: (request: ReceivedRequest) => number | undefined;
	/** Whether a request crashes the target at the end of its run; by default none does. */
	readonly crashesOn?: (request: ReceivedRequest) => boolean;
	/** Called once, after the first request that crashed the target. */
	readonly onCrashed?: () => void;
}

/** An HTTP server that handles requests as a target does. */
export class TestTarget {
	/** Arrival times of the requests meant for this target, executed or not, on the monotonic clock; in order. */
	readonly arrivalTimes: number[] = [];
	/** Requests that were executed, in order of arrival. */
	readonly executedRequests: ReceivedRequest[] = [];
	/** Requests that were rejected because `rejectionHeaders` was set, in order of arrival. */
	readonly rejectedRequests: RejectedRequest[] = [];
	/** If set, each request is rejected as not executed, with these headers. */
	rejectionHeaders: OutgoingHttpHeaders | undefined;
	/** Headers added to each response of an executed request and to each rejection by `rejectionHeaders`. */
	extraHeaders: OutgoingHttpHeaders = {};
	/** Requests whose body was broken off by their sender; they were not executed. */
	brokenRequests = 0;
	/** Maximum number of connections that were open at the same time. */
	peakConnections = 0;
	private _openConnections = 0;
	private _hasCrashed = false;
	private _runningRequests = 0;
	private readonly _waitingRequests: (() => void)[] = [];
	private readonly _server: Server;

	/** @param injectedFaults one is taken for each request that is not rejected by `rejectionHeaders`; targets may share the array */
	constructor(
		readonly options: TestTargetOptions,
		readonly injectedFaults: InjectedFault[] = []
	) {
		this._server = createServer((request, response) => void this._handleRequest(request, response));
		this._server.on('connection', socket => {
			this.peakConnections = Math.max(this.peakConnections, ++this._openConnections);
			socket.once('close', () => this._openConnections--);
		});
	}

	/** Starts to listen. */
	listen(): Promise<void> {
		return new Promise((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(this.options.port, this.options.host, () => resolve());
		});
	}

	/** Closes all connections and the listener at once. */
	crash(): void {
		this._server.closeAllConnections();
		this._server.close();
	}

	/** Address and port, as in heartbeats. */
	get address(): string {
		return `${this.options.host}:${this.options.port}`;
	}

	private async _handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const chunks: Buffer[] = [];
		try {
			for await (const chunk of request) {
				chunks.push(chunk as Buffer);
			}
		} catch {
			// The sender has broken off the body, so the request does not run.
			this.brokenRequests++;
			return;
		}
		const received: ReceivedRequest = {
			id: String(request.headers['request-id']),
			method: request.method!,
			path: request.url!,
			body: Buffer.concat(chunks).toString('utf8'),
			remainingMs: Number(request.headers['deadline-ms']),
			expected: String(request.headers['expect-instance']),
			headers: request.headers,
			closedEarly: false
		};
		response.setHeader('Request-Id', received.id);
		if (received.expected !== this.options.id) {
			response.writeHead(421).end();
			return;
		}
		this.arrivalTimes.push(performance.now());
		if (this.rejectionHeaders) {
			this.rejectedRequests.push({ id: received.id, at: performance.now() });
			response.writeHead(503, { 'Not-Executed': '1', ...this.rejectionHeaders, ...this.extraHeaders }).end();
			return;
		}
		const { slots, queueLength } = this.options;
		const mustWait = queueLength !== undefined && this._runningRequests >= slots;
		if (mustWait && this._waitingRequests.length >= queueLength) {
			response.writeHead(503, { 'Not-Executed': '1', 'Server-Load': this._load }).end();
			return;
		}
		const fault = this.injectedFaults.shift();
		if (fault === 'full') {
			response.writeHead(503, { 'Not-Executed': '1' }).end();
			return;
		}
		this.executedRequests.push(received);
		response.on('close', () => (received.closedEarly = !response.writableFinished));
		const run = (): void => this._run(response, received, fault);
		if (mustWait) {
			this._waitingRequests.push(run);
		} else {
			run();
		}
	}

	private _run(response: ServerResponse, received: ReceivedRequest, fault: InjectedFault | undefined): void {
		this._runningRequests++;
		setTimeout(
			() => {
				this._runningRequests--;
				this._waitingRequests.shift()?.();
				if (this.options.crashesOn?.(received)) {
					this._crashOnce();
					return;
				}
				this._respond(response, received, fault);
			},
			this.options.workMsOf?.(received) ?? this.options.workMs
		);
	}

	private get _load(): string {
		return `${this._runningRequests},${this._waitingRequests.length},${this.options.slots}`;
	}

	private _crashOnce(): void {
		if (!this._hasCrashed) {
			this._hasCrashed = true;
			this.crash();
			this.options.onCrashed?.();
		}
	}

	/** The head of a successful response, with the blank line behind it. */
	private _rawHead({ id }: ReceivedRequest, ...headers: string[]): string {
		const lines = ['HTTP/1.1 200 OK', `Request-Id: ${id}`, `Server-Stamp: ${this.options.id}`, ...headers, '', ''];
		return lines.join('\r\n');
	}

	private _respond(response: ServerResponse, received: ReceivedRequest, fault: InjectedFault | undefined): void {
		const body = `${received.id}:${'x'.repeat(this.options.paddingBytes)}`;
		const headers = {
			'Server-Stamp': this.options.id,
			'Server-Load': this._load,
			'Content-Length': String(body.length),
			...this.extraHeaders
		};
		const { socket } = response;
		switch (fault) {
			case 'silent':
				return;
			case 'reset':
				socket?.resetAndDestroy();
				return;
			case 'cut':
				response.writeHead(200, headers);
				response.write(body.slice(0, body.length / 2), () => socket?.resetAndDestroy());
				return;
			case 'other-id':
				response.setHeader('Request-Id', 'someone-else');
				response.writeHead(200, headers).end(body);
				return;
			case 'error':
				response.writeHead(500, headers).end(body);
				return;
			case 'unframed':
				socket?.end(this._rawHead(received) + body);
				return;
			case 'unframed-half':
				socket?.write(this._rawHead(received) + body.slice(0, body.length / 2));
				return;
			case 'chunked-half': {
				const half = body.slice(0, body.length / 2);
				socket?.end(
					`${this._rawHead(received, 'Transfer-Encoding: chunked')}${half.length.toString(16)}\r\n${half}\r\n`
				);
				return;
			}
			default:
				response.writeHead(200, headers).end(body);
				if (fault === 'extra') {
					socket?.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${received.id}\r\nContent-Length: 2\r\n\r\nno`);
				}
		}
	}
}
