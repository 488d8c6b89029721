/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Closes the idle connections of an HTTP server during a graceful shutdown. `Server.closeIdleConnections` treats a
 * connection as idle once the response was ended, even if part of it is still buffered, and so truncates responses.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as TcpServer, type Socket } from 'node:net';
import { Server as TlsServer } from 'node:tls';

/** Tracks the connections of a server and whether a response is in progress on them. */
export class ConnectionTracker {
	private readonly _openSockets = new Set<Socket>();
	private readonly _busySockets = new Set<Socket>();

	/** @param _server must not have any connections yet */
	constructor(private readonly _server: Server) {
		// For TLS servers, `request.socket` is the TLS socket, which is passed to `secureConnection` only.
		const event = _server instanceof TlsServer ? 'secureConnection' : 'connection';
		_server.on(event, (socket: Socket) => this._trackSocket(socket));
		_server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
			const { socket } = request;
			this._busySockets.add(socket);
			response.once('close', () => this._busySockets.delete(socket));
		});
	}

	/** Stops accepting connections; existing ones stay open, including idle ones. */
	stopAccepting(): void {
		// `close` of the HTTP server would also call `closeIdleConnections`.
		TcpServer.prototype.close.call(this._server);
	}

	/** Closes the connections that have no response in progress. */
	closeIdle(): void {
		for (const socket of this._openSockets) {
			if (!this._busySockets.has(socket) && socket.writableLength === 0) {
				socket.destroy();
			}
		}
	}

	private _trackSocket(socket: Socket): void {
		this._openSockets.add(socket);
		socket.once('close', () => {
			this._openSockets.delete(socket);
			this._busySockets.delete(socket);
		});
	}
}
