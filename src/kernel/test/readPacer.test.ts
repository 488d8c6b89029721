/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What a server parses in a turn of the event loop, and that nothing is lost by it. */

import assert from 'node:assert/strict';
import { createHash, randomBytes } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { afterEach, test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { PacedMessage } from '../node/pacedMessage.js';
import { paceReads } from '../node/readPacer.js';

const BODY_BYTES = 300_000;
/** Slices of 1 KiB with chunks of one byte in six; a few more than those of a turn, as a read begins with one. */
const MAX_CHUNKS_PER_TURN = Math.ceil((36 * 1024) / 6);
const HEAD = 'POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n';

let server: Server;

afterEach(() => {
	server.closeAllConnections();
	server.close();
});

/** A client of a server with this handler. */
async function open(handler: (request: IncomingMessage, response: ServerResponse) => void): Promise<Socket> {
	server = createServer({ IncomingMessage: PacedMessage }, handler);
	paceReads(server);
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()));
	return connect((server.address() as AddressInfo).port, '127.0.0.1');
}

function encode(body: Buffer, chunkBytes: number): Buffer {
	const parts: Buffer[] = [];
	for (let i = 0; i < body.length; i += chunkBytes) {
		const chunk = body.subarray(i, i + chunkBytes);
		parts.push(Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from('\r\n'));
	}
	return Buffer.concat([Buffer.from(HEAD), ...parts, Buffer.from('0\r\n\r\n')]);
}

/** Resolves to all that the server sends, up to a number of responses. */
function responses(socket: Socket, count: number): Promise<string[]> {
	let text = '';
	return new Promise(resolve =>
		socket.on('data', data => {
			text += data.toString('latin1');
			const digests = text.match(/[0-9a-f]{64}/g) ?? [];
			if (digests.length === count) {
				resolve(digests);
			}
		})
	);
}

function digestOf(body: Buffer): string {
	return createHash('sha256').update(body).digest('hex');
}

test('a body in chunks of one byte leaves the turns of the event loop to other work', async () => {
	let chunks = 0;
	let largest = 0;
	let isComplete = false;
	const socket = await open((request, response) => {
		request.on('data', () => chunks++);
		request.on('end', () => {
			isComplete = true;
			response.end(digestOf(Buffer.alloc(0)));
		});
	});
	socket.write(encode(Buffer.alloc(BODY_BYTES), 1));
	let seen = 0;
	while (!isComplete) {
		await nextTurn();
		largest = Math.max(largest, chunks - seen);
		seen = chunks;
	}
	assert.equal(chunks, BODY_BYTES);
	assert.ok(largest <= MAX_CHUNKS_PER_TURN, `${largest} chunks in a turn`);
	socket.destroy();
});

for (const chunkBytes of [1, 7, 3000, 60_000]) {
	test(`pipelined bodies in chunks of ${chunkBytes} bytes arrive whole, also where their reader is slow`, async () => {
		const bodies = [randomBytes(BODY_BYTES), randomBytes(10), randomBytes(BODY_BYTES / 3)];
		const socket = await open(async (request, response) => {
			const hash = createHash('sha256');
			let reads = 0;
			for await (const chunk of request) {
				hash.update(chunk as Buffer);
				if (reads++ % 1000 === 0) {
					await nextTurn();
				}
			}
			response.end(hash.digest('hex'));
		});
		const received = responses(socket, bodies.length);
		socket.write(Buffer.concat(bodies.map(body => encode(body, chunkBytes))));
		assert.deepEqual(await received, bodies.map(digestOf));
		socket.destroy();
	});
}
