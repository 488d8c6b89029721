/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Bodies that a listener reads: whole ones, ones that are too large, and ones that give up their memory. */

import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { after, test } from 'node:test';
import { BodyAccount } from '../common/bodyAccount.js';
import { HttpListener } from '../node/httpListener.js';
import { MetricsService } from '../node/metricsService.js';
import { readBody } from '../node/readBody.js';

const KIBIBYTE = 1024;
const LIMIT_BYTES = 120 * KIBIBYTE;
/** Has room for one body of 128 KiB. */
const account = new BodyAccount(1);
const errors: Error[] = [];
const listener = new HttpListener({
	address: '127.0.0.1:0',
	maxConnections: 10,
	metrics: new MetricsService(),
	isReady: () => true,
	onError: error => errors.push(error)
});
listener.on('POST', '/', async (request, response) => {
	response.end(String((await readBody(request, LIMIT_BYTES, account)).length));
});
const listening = listener.listen();
after(() => listener.dispose());

/** Sends chunks, and resolves to all that came back once the connection is closed. */
async function send(chunks: readonly number[], end: string): Promise<{ socket: Socket; closed: Promise<string> }> {
	const [host, port] = (await listening).split(':');
	const socket = connect(Number(port), host);
	let received = '';
	socket.on('data', data => (received += data.toString('latin1')));
	socket.on('error', () => undefined);
	const closed = new Promise<string>(resolve => socket.once('close', () => resolve(received)));
	socket.write('POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n');
	chunks.forEach(bytes => socket.write(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`));
	socket.write(end);
	return { socket, closed };
}

async function received(bytes: number): Promise<void> {
	while (account.heldBytes < bytes) {
		await new Promise(resolve => setImmediate(resolve));
	}
}

test('a body that does not end gives up its memory for others, with 503 and the end of its connection', async () => {
	const silent = await send([80 * KIBIBYTE], '');
	await received(80 * KIBIBYTE);
	const ordinary = await send([50 * KIBIBYTE, 50 * KIBIBYTE], '0\r\n\r\n');
	const refusal = await silent.closed;
	assert.match(refusal, /^HTTP\/1.1 503 /);
	assert.match(refusal, /\r\nRetry-After: 1\r\n/);
	assert.match(refusal, /\r\nConnection: close\r\n/);
	assert.match(refusal, /"verdict":"not-run"/);
	ordinary.socket.end();
	assert.match(await ordinary.closed, /\r\n\r\n102400$/);
	assert.equal(account.heldBytes, 0);
	assert.deepEqual(errors, []);
});

test('a body that is too large is refused, and its memory is free', async () => {
	const large = await send([70 * KIBIBYTE, 70 * KIBIBYTE], '');
	assert.match(await large.closed, /^HTTP\/1.1 413 /);
	assert.equal(account.heldBytes, 0);
});

test('the memory of a body is free once its client has left', async () => {
	const leaving = await send([80 * KIBIBYTE], '');
	await received(80 * KIBIBYTE);
	leaving.socket.destroy();
	while (account.heldBytes > 0) {
		await new Promise(resolve => setImmediate(resolve));
	}
});
