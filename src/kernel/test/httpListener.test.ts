/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Clients that keep the connections of a listener. */

import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { after, test } from 'node:test';
import { HttpListener } from '../node/httpListener.js';
import { MetricsService } from '../node/metricsService.js';

const MAX_CONNECTIONS = 3;
const listener = new HttpListener({
	address: '127.0.0.1:0',
	maxConnections: MAX_CONNECTIONS,
	metrics: new MetricsService(),
	isReady: () => true,
	onError: () => undefined
});
const listening = listener.listen();
after(() => listener.dispose());

interface Client {
	readonly socket: Socket;
	/** All that was received until the connection was closed. */
	readonly closed: Promise<string>;
}

async function send(text: string): Promise<Client> {
	const [host, port] = (await listening).split(':');
	const socket = connect(Number(port), host);
	let received = '';
	socket.on('data', data => (received += data.toString('latin1')));
	socket.on('error', () => undefined);
	const closed = new Promise<string>(resolve => socket.once('close', () => resolve(received)));
	await new Promise(resolve => socket.once('connect', resolve));
	socket.write(text);
	return { socket, closed };
}

test('a client is served although silent ones hold all connections', async () => {
	const silent: Client[] = [];
	for (let i = 0; i < MAX_CONNECTIONS; i++) {
		silent.push(await send(''));
	}
	const { closed } = await send('GET /healthz HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n');
	assert.match(await closed, /^HTTP\/1.1 200 /);
	silent.forEach(({ socket }) => socket.destroy());
});

test('a refused request whose body does not end loses its connection', async () => {
	const { closed } = await send('POST /none HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n');
	assert.match(await closed, /^HTTP\/1.1 404 /);
});

test('a refused request whose body ends keeps its connection', async () => {
	const request = 'POST /none HTTP/1.1\r\nHost: test\r\nContent-Length: 1\r\n';
	const { socket, closed } = await send(`${request}\r\n`);
	await new Promise(resolve => socket.once('data', resolve));
	socket.write(`x${request}Connection: close\r\n\r\nx`);
	assert.equal((await closed).match(/HTTP\/1.1 404 /g)?.length, 2);
});
