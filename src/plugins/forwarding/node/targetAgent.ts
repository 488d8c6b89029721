/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Connections to targets, kept for further requests. */

import { Agent, type ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

/** How long a connection rests at most where the target does not say how long it keeps one. */
const IDLE_MS = 6000;
/** The same where it does. */
const MAX_IDLE_MS = 30000;
/** A connection is given up this long before the target would close it, so that no request crosses the close. */
const CLOSE_MARGIN_MS = 1500;
const MAX_IDLE_SOCKETS = 64;
const TIMEOUT_HINT = /timeout=(\d+)/;

function closeUnasked(this: Socket): void {
	this.destroy();
}

/** Keeps connections; one on which a target sends something unasked is closed, since it would pass for an answer. */
export class TargetAgent extends Agent {
	constructor() {
		super({ keepAlive: true, maxFreeSockets: MAX_IDLE_SOCKETS, scheduling: 'lifo' });
	}

	override keepSocketAlive(stream: Duplex): boolean {
		const socket = stream as Socket & { _httpMessage?: { res?: { headers: Record<string, string | undefined> } } };
		const hint = TIMEOUT_HINT.exec(socket._httpMessage?.res?.headers['keep-alive'] ?? '')?.[1];
		const idleMs = hint ? Math.min(MAX_IDLE_MS, Number(hint) * 1000 - CLOSE_MARGIN_MS) : IDLE_MS;
		if (idleMs <= 0 || socket.destroyed) {
			return false;
		}
		super.keepSocketAlive(socket);
		socket.setTimeout(idleMs);
		socket.on('data', closeUnasked);
		return true;
	}

	override reuseSocket(stream: Duplex, request: ClientRequest): void {
		const socket = stream as Socket;
		socket.removeListener('data', closeUnasked);
		socket.setTimeout(0);
		super.reuseSocket(socket, request);
	}
}
