/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The listener for callers' connections. */

import { createServer as createHttpServer, type Server as HttpServer } from 'node:http';
import { createServer, type Server, type Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import type { CallerConnectionOptions, ICallerConnections } from '../common/callerConnections.js';
import { CallerConnection, type ICallerConnectionHost } from './callerConnection.js';

/** Prefix of the error codes of the Node.js HTTP parser. */
const PARSER_ERROR_PREFIX = 'HPE_';

/** Accepts connections and parses their requests with the HTTP server of Node.js. */
export class CallerConnections extends Disposable implements ICallerConnections {
	private readonly _connections = new Map<Duplex, CallerConnection>();
	private _acceptor: Server | undefined;
	private _inFlight = 0;
	private _isEnding = false;

	constructor() {
		super();
		this._register(
			toDisposable(() => {
				this._acceptor?.close();
				this._connections.forEach(({ socket }) => socket.destroy());
			})
		);
	}

	get inFlight(): number {
		return this._inFlight;
	}

	get closing(): number {
		return [...this._connections.values()].filter(({ socket }) => socket.isClosing).length;
	}

	async listen(options: CallerConnectionOptions): Promise<void> {
		const http = this._createHttpServer(options);
		const host: ICallerConnectionHost = {
			isRepeatable: request => options.isRepeatable(request),
			serve: request => options.serve(request),
			onTakenChange: difference => (this._inFlight += difference)
		};
		const acceptor = createServer({ allowHalfOpen: true, noDelay: true }, socket => this._accept(socket, http, host));
		acceptor.maxConnections = options.maxConnections;
		this._acceptor = acceptor;
		const [address, port] = options.address.split(':');
		await new Promise<void>((resolve, reject) => {
			acceptor.once('error', reject);
			acceptor.listen(Number(port), address, () => resolve());
		});
	}

	endTakingUp(): void {
		this._isEnding = true;
		this._closeIdle();
		this._connections.forEach(connection => connection.endTakingUp());
	}

	stopAccepting(): void {
		this._acceptor?.close();
		this._closeIdle();
	}

	/** Port of the listener. */
	get port(): number {
		return (this._acceptor!.address() as { port: number }).port;
	}

	private _createHttpServer(options: CallerConnectionOptions): HttpServer {
		const http = createHttpServer({ maxHeaderSize: options.maxHeaderBytes });
		http.on('request', (request, response) => {
			http.keepAliveTimeout = options.idleTimeoutMs();
			this._connections.get(request.socket)?.add(request, response);
		});
		http.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			const connection = this._connections.get(socket);
			if (connection && error.code?.startsWith(PARSER_ERROR_PREFIX)) {
				connection.onInvalidData(error);
			} else {
				socket.destroy();
			}
		});
		return http;
	}

	private _accept(raw: Socket, http: HttpServer, host: ICallerConnectionHost): void {
		const connection = new CallerConnection(raw, host, this._isEnding);
		const { socket } = connection;
		this._connections.set(socket, connection);
		socket.once('close', () => this._connections.delete(socket));
		http.emit('connection', socket);
	}

	private _closeIdle(): void {
		for (const connection of this._connections.values()) {
			if (connection.isIdle && !connection.socket.isClosing) {
				connection.socket.destroy();
			}
		}
	}
}
