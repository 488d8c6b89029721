/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Responses of targets that end by a reset of the connection, or without the end that their form states. */

import assert from 'node:assert/strict';
import { type AddressInfo, createServer, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import type { DispatchRequest, ResponseSink } from '../common/dispatch.js';
import { TargetConnectionPool } from '../node/targetConnectionPool.js';

const REMAINING_MS = 5000;
const READER_PAUSE_MS = 100;
/** More than one read takes. */
const PART_BYTES = 300_000;
const UNFRAMED = 'HTTP/1.1 200 OK\r\n\r\nhalf';
const sockets = new Set<Socket>();
let responseText = '';
let hasSlowReader = false;
const server = createServer(socket => {
	sockets.add(socket);
	socket.on('error', () => undefined);
	socket.on('data', () => socket.write(responseText));
});
let pool: TargetConnectionPool;

/** Sends a request, ends the connection once a part of the response has arrived; resolves with how the response ended. */
async function receiveAndEnd(text: string, endConnection: (socket: Socket) => void): Promise<string> {
	responseText = text;
	let end = 'none';
	const sink: ResponseSink = {
		start: () => undefined,
		write: () => {
			const isFirst = sockets.size > 0;
			sockets.forEach(endConnection);
			sockets.clear();
			return !(isFirst && hasSlowReader);
		},
		onDrain: callback => void setTimeout(callback, READER_PAUSE_MS),
		end: () => (end = 'whole'),
		abort: () => (end = 'broken')
	};
	const request = { requestId: 'r-1', method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0), group: 'g' };
	const outcome = await pool.attempt({
		request: { ...request, deadline: performance.now() + REMAINING_MS } as unknown as DispatchRequest,
		sink,
		mayRetry: () => false,
		maySend: () => true,
		signal: new AbortController().signal
	});
	return `${outcome.kind}, ${end}`;
}

before(async () => {
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
	pool = new TargetConnectionPool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
});

after(() => {
	pool.dispose();
	server.close();
	sockets.forEach(socket => socket.destroy());
});

test('a response without a length is whole when its connection ends in order', async () => {
	assert.equal(await receiveAndEnd(UNFRAMED, socket => socket.end()), 'answered, whole');
});

test('a response without a length is not whole when its connection is reset', async () => {
	assert.equal(await receiveAndEnd(UNFRAMED, socket => socket.resetAndDestroy()), 'broken, broken');
});

test('a response with a length or chunks on a connection that closes is not whole without its end', async () => {
	for (const framing of ['Content-Length: 9\r\n\r\nhalf', 'Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n']) {
		const text = `HTTP/1.1 200 OK\r\nConnection: close\r\n${framing}`;
		assert.equal(await receiveAndEnd(text, socket => socket.end()), 'broken, broken');
		assert.equal(await receiveAndEnd(text, socket => socket.resetAndDestroy()), 'broken, broken');
	}
});

test('a response without a length is not whole when its connection is reset while a part waits to be read', async () => {
	hasSlowReader = true;
	const text = UNFRAMED + 'x'.repeat(PART_BYTES);
	assert.equal(
		await receiveAndEnd(text, socket => void setTimeout(() => socket.resetAndDestroy(), 20)),
		'broken, broken'
	);
});
