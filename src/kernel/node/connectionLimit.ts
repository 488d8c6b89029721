/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Bounds the connections of an HTTP server. `Server.maxConnections` refuses new ones, so that a crowd of silent clients keeps out all
 * others; here such clients make room.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Closes connections beyond a maximum: those without a request first, then idle ones, then those whose request has not arrived in whole. */
export class ConnectionLimit {
	/** Connections without a request so far, the oldest first. */
	private readonly _silent = new Set<Socket>();
	/** Connections between two requests, the one that has been idle the longest first. */
	private readonly _idle = new Set<Socket>();
	/** The last request of connections that have not been answered, the oldest first. */
	private readonly _requests = new Map<Socket, IncomingMessage>();
	private _open = 0;

	/** @param server must not have any connections yet */
	constructor(
		server: Server,
		private readonly _maxConnections: number
	) {
		server.on('connection', (socket: Socket) => this._track(socket));
		server.prependListener('request', (request: IncomingMessage, response: ServerResponse) =>
			this._trackRequest(request, response)
		);
	}

	/** Connections that are open. */
	get open(): number {
		return this._open;
	}

	private _track(socket: Socket): void {
		this._open++;
		socket.once('close', () => {
			this._open--;
			this._withdraw(socket);
		});
		if (this._open > this._maxConnections) {
			(this._firstToClose() ?? socket).destroy();
		}
		if (!socket.destroyed) {
			this._silent.add(socket);
		}
	}

	private _trackRequest(request: IncomingMessage, response: ServerResponse): void {
		const { socket } = request;
		this._withdraw(socket);
		this._requests.set(socket, request);
		response.once('close', () => {
			this._withdraw(socket);
			if (!socket.destroyed) {
				this._idle.add(socket);
			}
		});
	}

	private _firstToClose(): Socket | undefined {
		const socket: Socket | undefined = firstOf(this._silent) ?? firstOf(this._idle) ?? this._firstIncomplete();
		if (socket) {
			this._withdraw(socket);
		}
		return socket;
	}

	private _firstIncomplete(): Socket | undefined {
		for (const [socket, request] of this._requests) {
			if (!request.complete) {
				return socket;
			}
		}
		return undefined;
	}

	private _withdraw(socket: Socket): void {
		this._silent.delete(socket);
		this._idle.delete(socket);
		this._requests.delete(socket);
	}
}

function firstOf(sockets: Set<Socket>): Socket | undefined {
	return sockets.values().next().value;
}
