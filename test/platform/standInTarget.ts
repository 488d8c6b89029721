/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A small stand-in of the platform's upstreams: slots, instance check, echo of the request's id, load words. */

import {
	createServer,
	type IncomingMessage,
	type OutgoingHttpHeaders,
	type Server,
	type ServerResponse
} from 'node:http';

/** How the next requests are answered instead of the usual way. */
export type Misbehaviour = 'reset' | 'cut' | 'full' | 'extra' | 'silent' | 'unframed' | 'other-id' | 'error';

/** What a target saw of one request. */
export interface SeenRequest {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly remainingMs: number;
	readonly expected: string;
	/** The headers, by name in lower case. */
	readonly headers: IncomingMessage['headers'];
	/** Whether the caller's side closed before the answer. */
	closedEarly: boolean;
}

/** A request that was turned away. */
export interface TurnedAway {
	readonly id: string;
	/** When it arrived and was answered, on the monotonic clock. */
	readonly at: number;
}

/** Options of a stand-in. */
export interface StandInOptions {
	readonly id: string;
	readonly host: string;
	readonly port: number;
	readonly slots: number;
	readonly workMs: number;
	readonly answerBytes: number;
	/** Whether a request ends the target that runs it, once it has worked on it; none does where it is left out. */
	readonly endsUnder?: (seen: SeenRequest) => boolean;
	/** Called when a request has ended the target. */
	readonly onEnded?: () => void;
}

/** One upstream. */
export class StandInTarget {
	/** When each request that was meant for this target reached it, run or not, on the monotonic clock; in order. */
	readonly arrivals: number[] = [];
	/** Requests that ran here, in order of arrival. */
	readonly ran: SeenRequest[] = [];
	/** Requests that were turned away while `refusesWith` was set, in order of arrival. */
	readonly turnedAway: TurnedAway[] = [];
	/** Headers with which each request is turned away, since it was not run; none is where this is undefined. */
	refusesWith: OutgoingHttpHeaders | undefined;
	/** Headers that stand in each answer, besides the usual ones. */
	alsoSays: OutgoingHttpHeaders = {};
	/** The most connections that were open at a time. */
	mostConnections = 0;
	private _connections = 0;
	private _running = 0;
	private readonly _server: Server;

	/** @param misbehaviours consumed one a request; several targets may share them */
	constructor(
		readonly options: StandInOptions,
		readonly misbehaviours: Misbehaviour[] = []
	) {
		this._server = createServer((request, response) => void this._handle(request, response));
		this._server.on('connection', socket => {
			this.mostConnections = Math.max(this.mostConnections, ++this._connections);
			socket.once('close', () => this._connections--);
		});
	}

	/** Opens the listener. */
	listen(): Promise<void> {
		return new Promise((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(this.options.port, this.options.host, () => resolve());
		});
	}

	/** Ends at once, as a crash does. */
	crash(): void {
		this._server.closeAllConnections();
		this._server.close();
	}

	/** Address as it stands in heartbeats. */
	get address(): string {
		return `${this.options.host}:${this.options.port}`;
	}

	private async _handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const pieces: Buffer[] = [];
		for await (const piece of request) {
			pieces.push(piece as Buffer);
		}
		const seen: SeenRequest = {
			id: String(request.headers['request-id']),
			method: request.method!,
			path: request.url!,
			body: Buffer.concat(pieces).toString('utf8'),
			remainingMs: Number(request.headers['deadline-ms']),
			expected: String(request.headers['expect-instance']),
			headers: request.headers,
			closedEarly: false
		};
		response.setHeader('Request-Id', seen.id);
		if (seen.expected !== this.options.id) {
			response.writeHead(421).end();
			return;
		}
		this.arrivals.push(performance.now());
		if (this.refusesWith) {
			this.turnedAway.push({ id: seen.id, at: performance.now() });
			response.writeHead(503, { 'Not-Executed': '1', ...this.refusesWith, ...this.alsoSays }).end();
			return;
		}
		const misbehaviour = this.misbehaviours.shift();
		if (misbehaviour === 'full') {
			response.writeHead(503, { 'Not-Executed': '1' }).end();
			return;
		}
		this.ran.push(seen);
		this._running++;
		response.on('close', () => (seen.closedEarly = !response.writableFinished));
		setTimeout(() => {
			this._running--;
			if (this.options.endsUnder?.(seen)) {
				this.crash();
				this.options.onEnded?.();
				return;
			}
			this._answer(response, seen, misbehaviour);
		}, this.options.workMs);
	}

	private _answer(response: ServerResponse, seen: SeenRequest, misbehaviour: Misbehaviour | undefined): void {
		const body = `${seen.id}:${'x'.repeat(this.options.answerBytes)}`;
		const load = `${this._running},0,${this.options.slots}`;
		const head = {
			'Server-Stamp': this.options.id,
			'Server-Load': load,
			'Content-Length': String(body.length),
			...this.alsoSays
		};
		const { socket } = response;
		switch (misbehaviour) {
			case 'silent':
				return;
			case 'reset':
				socket?.resetAndDestroy();
				return;
			case 'cut':
				response.writeHead(200, head);
				response.write(body.slice(0, body.length / 2), () => socket?.resetAndDestroy());
				return;
			case 'other-id':
				response.setHeader('Request-Id', 'someone-else');
				response.writeHead(200, head).end(body);
				return;
			case 'error':
				response.writeHead(500, head).end(body);
				return;
			case 'unframed': {
				const lines = ['HTTP/1.1 200 OK', `Request-Id: ${seen.id}`, `Server-Stamp: ${this.options.id}`, '', ''];
				socket?.end(lines.join('\r\n') + body);
				return;
			}
			default:
				response.writeHead(200, head).end(body);
				if (misbehaviour === 'extra') {
					socket?.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${seen.id}\r\nContent-Length: 2\r\n\r\nno`);
				}
		}
	}
}
