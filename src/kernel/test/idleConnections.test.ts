/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * A planned stop lets answers through.
 *
 * Symptom: a caller's connection was closed in the middle of a large answer, 40 ms after its entry instance was told to stop.
 * Sequence: the target's answer had ended, the instance had written its last piece, and much of it was still waiting for
 * the link; the stop closed all idle connections. Cause: the server calls a connection idle once the answer was ended by
 * the program, not once it was sent.
 */

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { IdleConnections } from '../node/idleConnections.js';

const LARGE_BYTES = 32 * 1024 * 1024;
let server: Server;
let idle: IdleConnections;
/** Resolves when the program has ended the answer. */
let ended: Promise<void>;

before(async () => {
	let onEnded: () => void;
	ended = new Promise(resolve => (onEnded = resolve));
	server = createServer((request, response) => {
		const isLarge = request.url === '/large';
		response.end(isLarge ? Buffer.alloc(LARGE_BYTES, 'x') : 'small');
		if (isLarge) {
			onEnded();
		}
	});
	idle = new IdleConnections(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
});

after(() => {
	server.closeAllConnections();
	server.close();
});

async function ask(path: string): Promise<Socket> {
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	await once(socket, 'connect');
	socket.write(`GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`);
	return socket;
}

test('an answer that was ended and is still being sent is not cut off, a connection at rest is closed', async () => {
	const resting = await ask('/small');
	resting.resume();
	await once(resting, 'data');
	const reading = await ask('/large');
	reading.pause();
	await ended;
	idle.close();
	await once(resting, 'close');
	let bytes = 0;
	reading.on('data', (piece: Buffer) => {
		bytes += piece.length;
		if (bytes > LARGE_BYTES) {
			reading.destroy();
		}
	});
	reading.resume();
	await once(reading, 'close');
	assert.ok(bytes > LARGE_BYTES, `${bytes} of more than ${LARGE_BYTES} bytes came`);
});
