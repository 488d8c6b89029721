/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How connections end while a response is sent whose end is the end of its connection. */

import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { takeReset } from '../../../kernel/node/connectionReset.js';
import type { ICallerRequest } from '../common/callerConnections.js';
import { delay, TestListener, until } from './testListener.js';

const listener = new TestListener();
const LARGE = Buffer.alloc(8_000_000, 'x');

interface Received {
	readonly socket: Socket;
	text: string;
	hasEnded: boolean;
	isClosed: boolean;
}

function send(text: string): Received {
	const socket = connect({ port: listener.connections.port, host: '127.0.0.1', allowHalfOpen: true });
	const received: Received = { socket, text: '', hasEnded: false, isClosed: false };
	socket.setEncoding('latin1');
	socket.on('data', (part: string) => (received.text += part));
	socket.on('end', () => {
		// Node.js reports an end for a reset as well where it has data to read.
		received.hasEnded = !takeReset(socket);
		socket.end();
	});
	socket.on('error', () => undefined);
	socket.on('close', () => (received.isClosed = true));
	socket.write(text);
	return received;
}

const GET = 'GET /a HTTP/1.1\r\nHost: h\r\n\r\n';

async function begin(text: string): Promise<{ received: Received; request: ICallerRequest }> {
	listener.taken.length = 0;
	const received = send(text);
	await until('taken up', () => listener.taken.length > 0);
	const request = listener.taken[0]!;
	assert.ok(request.tryBeginUnframed());
	request.response.writeHead(200, ['Connection', 'close']);
	request.response.write('beginning');
	await until('the beginning has arrived', () => received.text.includes('beginning'));
	return { received, request };
}

before(() => listener.listen());
after(() => listener.connections.dispose());

for (const [name, text] of [
	['what follows it is invalid', 'GET /a HTTP/1.1\r\nHost: h\r\n\r\n\0\0\0\r\n\r\n'],
	['the head of another request is not complete in time', `${GET}GET /b HTTP/1.1\r\nHo`],
	['its request body breaks off', 'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf']
] as const) {
	test(`a part of an unframed response never looks whole where ${name}`, async () => {
		const { received, request } = await begin(text);
		await delay(400);
		if (!received.isClosed) {
			received.socket.end();
			await until('closed', () => received.isClosed);
		}
		assert.ok(!received.hasEnded, received.text.slice(0, 300));
		request.response.destroy();
	});
}

test('a slow reader of an unframed response gets all of it with an orderly end', async () => {
	const { received, request } = await begin(GET);
	received.socket.pause();
	request.response.end(LARGE);
	await delay(100);
	received.socket.resume();
	await until('closed', () => received.isClosed);
	assert.ok(received.hasEnded);
	assert.ok(received.text.endsWith('x'.repeat(1000)));
	assert.ok(received.text.length > LARGE.length);
});

test('a part of an unframed response never looks whole to a caller that does not read', async () => {
	const { received, request } = await begin(GET);
	received.socket.pause();
	request.response.write(LARGE);
	await until('closed here', () => request.response.destroyed || request.response.closed, 20000);
	received.socket.resume();
	await until('closed', () => received.isClosed);
	assert.ok(!received.hasEnded);
});

test('a part of an unframed response never looks whole when its socket is destroyed during a planned stop', async () => {
	const { received, request } = await begin(GET);
	listener.connections.endTakingUp();
	request.response.socket!.destroy();
	await until('closed', () => received.isClosed);
	assert.ok(!received.hasEnded);
});
