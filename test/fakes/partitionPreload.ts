/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Preloaded into a process: its links to test targets fail while a file with the name of its settings file and `.partition` exists,
 * whose content says how: `reset` for connections that are reset and new ones that are refused, `silent` for ones that hang.
 */

import { existsSync, readFileSync, watchFile } from 'node:fs';
import { Socket, type SocketConnectOpts } from 'node:net';

const POLL_INTERVAL_MS = 20;
/** Addresses of test targets end in this number or a higher one. */
const FIRST_TARGET_HOST = 200;

const flagFile = `${process.argv.at(-1)}.partition`;
const targetSockets = new Set<Socket>();
let fault: 'reset' | 'silent' | undefined;

function isTarget(options: unknown): boolean {
	const { host } = (options ?? {}) as { host?: string };
	return host !== undefined && Number(host.split('.').at(-1)) >= FIRST_TARGET_HOST;
}

/** Keeps everything from arriving at either side of an open connection. */
function silence(socket: Socket): void {
	socket.pause();
	socket.resume = () => socket;
	socket._write = () => undefined;
	socket._writev = undefined;
}

function resetError(): Error {
	return Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET', syscall: 'read' });
}

const connectSocket = Socket.prototype.connect as (this: Socket, ...args: unknown[]) => Socket;

Socket.prototype.connect = function (this: Socket, ...args: unknown[]): Socket {
	const options = (Array.isArray(args[0]) ? args[0][0] : args[0]) as SocketConnectOpts;
	if (!isTarget(options)) {
		return connectSocket.apply(this, args);
	}
	targetSockets.add(this);
	this.once('close', () => targetSockets.delete(this));
	if (fault === undefined) {
		return connectSocket.apply(this, args);
	}
	(this as { connecting: boolean }).connecting = true;
	if (fault === 'reset') {
		setImmediate(() => this.destroy(resetError()));
	}
	return this;
} as typeof Socket.prototype.connect;

function update(): void {
	const next = existsSync(flagFile) ? (readFileSync(flagFile, 'utf8') as 'reset' | 'silent') : undefined;
	if (next === fault) {
		return;
	}
	fault = next;
	for (const socket of targetSockets) {
		if (fault === 'silent') {
			silence(socket);
		} else {
			socket.destroy(resetError());
		}
	}
}

watchFile(flagFile, { interval: POLL_INTERVAL_MS, persistent: false }, update);
