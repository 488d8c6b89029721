/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Closes the connections of an HTTP server on which nothing is under way, before a planned stop. The server's own
 * `closeIdleConnections` takes an answer for done once the program has ended it, and cuts off what still waits for the link.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as TcpServer, type Socket } from 'node:net';
import { Server as TlsServer } from 'node:tls';

/** The connections of one server, by whether an answer is on its way. */
export class IdleConnections {
	private readonly _open = new Set<Socket>();
	private readonly _busy = new Set<Socket>();

	/** @param _server one that has no connections yet */
	constructor(private readonly _server: Server) {
		// Behind TLS a request names the encrypted socket, which comes with an event of its own.
		const event = _server instanceof TlsServer ? 'secureConnection' : 'connection';
		_server.on(event, (socket: Socket) => this._follow(socket));
		_server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
			const { socket } = request;
			this._busy.add(socket);
			response.once('close', () => this._busy.delete(socket));
		});
	}

	/** Takes no new connections; those that are there stay, also idle ones. */
	stopListening(): void {
		// The HTTP server's own `close` would close connections that it takes for idle.
		TcpServer.prototype.close.call(this._server);
	}

	/** Closes the connections on which no answer is on its way. */
	close(): void {
		for (const socket of this._open) {
			if (!this._busy.has(socket) && socket.writableLength === 0) {
				socket.destroy();
			}
		}
	}

	private _follow(socket: Socket): void {
		this._open.add(socket);
		socket.once('close', () => {
			this._open.delete(socket);
			this._busy.delete(socket);
		});
	}
}
