/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Closing idle connections during a graceful shutdown must not truncate a response that was ended but is still buffered;
 * Node.js already counts its connection as idle.
 */

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { ConnectionTracker } from '../node/connectionTracker.js';

const LARGE_BYTES = 32 * 1024 * 1024;
let server: Server;
let connections: ConnectionTracker;
/** Resolves when `response.end` was called for the large response. */
let responseEnded: Promise<void>;

before(async () => {
	let onEnded: () => void;
	responseEnded = new Promise(resolve => (onEnded = resolve));
	server = createServer((request, response) => {
		const isLarge = request.url === '/large';
		response.end(isLarge ? Buffer.alloc(LARGE_BYTES, 'x') : 'small');
		if (isLarge) {
			onEnded();
		}
	});
	connections = new ConnectionTracker(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
});

after(() => {
	server.closeAllConnections();
	server.close();
});

async function sendRequest(path: string): Promise<Socket> {
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	await once(socket, 'connect');
	socket.write(`GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`);
	return socket;
}

test('closes an idle connection, but not one whose ended response is still being sent', async () => {
	const idleSocket = await sendRequest('/small');
	idleSocket.resume();
	await once(idleSocket, 'data');
	const busySocket = await sendRequest('/large');
	busySocket.pause();
	await responseEnded;
	connections.closeIdle();
	await once(idleSocket, 'close');
	let receivedBytes = 0;
	busySocket.on('data', (chunk: Buffer) => {
		receivedBytes += chunk.length;
		if (receivedBytes > LARGE_BYTES) {
			busySocket.destroy();
		}
	});
	busySocket.resume();
	await once(busySocket, 'close');
	assert.ok(receivedBytes > LARGE_BYTES, `received ${receivedBytes} of more than ${LARGE_BYTES} bytes`);
});
