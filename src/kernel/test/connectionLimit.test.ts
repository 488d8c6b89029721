/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which connections make room for others. */

import assert from 'node:assert/strict';
import { createServer, type ServerResponse } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { ConnectionLimit } from '../node/connectionLimit.js';

const MAX_CONNECTIONS = 2;

let server: ReturnType<typeof createServer>;
let limit: ConnectionLimit;
let responses: ServerResponse[];

beforeEach(async () => {
	server = createServer((_request, response) => responses.push(response));
	limit = new ConnectionLimit(server, MAX_CONNECTIONS);
	responses = [];
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()));
});

afterEach(() => {
	server.closeAllConnections();
	server.close();
});

async function until(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise(resolve => setImmediate(resolve));
	}
}

/** A client whose connection the server has accepted, and that has sent a text. */
async function open(text = ''): Promise<Socket> {
	const accepted = new Promise(resolve => server.once('connection', resolve));
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	socket.on('error', () => undefined).resume();
	socket.write(text);
	await accepted;
	return socket;
}

function requestText(rest = ''): string {
	return `POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n${rest}`;
}

async function openWithRequest(rest: string): Promise<Socket> {
	const count = responses.length;
	const socket = await open(requestText(rest));
	await until(() => responses.length > count);
	responses.at(-1)!.req.resume();
	return socket;
}

async function closed(socket: Socket): Promise<void> {
	await until(() => socket.destroyed);
}

test('a connection that says nothing makes room before one with a request', async () => {
	const busy = await openWithRequest('0\r\n\r\n');
	const silent = await open();
	const other = await openWithRequest('0\r\n\r\n');
	await closed(silent);
	assert.equal(limit.open, MAX_CONNECTIONS);
	assert.deepEqual([busy.destroyed, other.destroyed], [false, false]);
});

test('a connection whose request does not end makes room, and one whose request is being served does not', async () => {
	const unended = await openWithRequest('1\r\nx\r\n');
	const busy = await openWithRequest('0\r\n\r\n');
	await until(() => responses[1]!.req.readableEnded);
	const other = await openWithRequest('0\r\n\r\n');
	await closed(unended);
	assert.deepEqual([busy.destroyed, other.destroyed], [false, false]);
});

test('the connection that has been idle the longest makes room', async () => {
	const sockets = [await openWithRequest('0\r\n\r\n'), await openWithRequest('0\r\n\r\n')];
	for (const response of [...responses].reverse()) {
		const answered = new Promise(resolve => response.once('close', resolve));
		response.end();
		await answered;
	}
	const other = await openWithRequest('0\r\n\r\n');
	await closed(sockets[1]!);
	assert.deepEqual([sockets[0]!.destroyed, other.destroyed], [false, false]);
});

test('where all requests are being served, the newest connection is closed', async () => {
	await openWithRequest('0\r\n\r\n');
	await openWithRequest('0\r\n\r\n');
	await until(() => responses.every(response => response.req.readableEnded));
	await closed(await open());
	assert.equal(limit.open, MAX_CONNECTIONS);
});
