/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Responses that have begun and are not complete at the time-out of their route. */

import assert from 'node:assert/strict';
import { connect, createServer, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { createConfigDocument, PlatformTestSystem, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTE_TIMEOUT_MS = 1000;
const MAX_OVERDUE_MS = 500;
const REMAINING_MS = 5000;
/** More than is buffered before a response is forwarded. */
const RESPONSE_BYTES = 1_000_000;
const DRIP_INTERVAL_MS = 100;
const KINDS = ['safe', 'unsafe', 'download'] as const;
const ROUTES = KINDS.map(kind => ({
	prefix: `/${kind}/`,
	kind,
	service: 'orders',
	timeout: `${ROUTE_TIMEOUT_MS}ms`
}));

const system = new PlatformTestSystem(3, 1);
const entry = system.entries[0]!;
/** Only heartbeats are sent for it; `server` listens in its place. */
const target = new TestTarget({
	id: 'i-1',
	host: system.targetHost(1),
	port: 8080,
	slots: 10,
	workMs: 0,
	paddingBytes: 0
});
const server = createServer(socket => {
	socket.on('error', () => undefined);
	socket.on('data', (data: Buffer) => respond(socket, data.toString('latin1')));
});

function respond(socket: Socket, request: string): void {
	const id = /request-id: (\S+)/i.exec(request)?.[1] ?? '';
	const isDripping = request.includes('/drip');
	const length = isDripping ? RESPONSE_BYTES : 0;
	socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nContent-Length: ${length}\r\n\r\n`);
	if (isDripping) {
		const timer = setInterval(() => socket.write('x'), DRIP_INTERVAL_MS);
		socket.once('close', () => clearInterval(timer));
	}
}

/** Sends a request whose response drips; returns how long its connection stays open and what arrives on it. */
function send(kind: string): Promise<{ tookMs: number; text: string }> {
	const { hostname, port } = new URL(system.callerUrl(entry));
	const socket = connect(Number(port), hostname);
	const sentAt = performance.now();
	let text = '';
	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => (text += chunk));
	socket.on('error', () => undefined);
	const method = kind === 'unsafe' ? 'POST' : 'GET';
	const lines = [`${method} /${kind}/drip HTTP/1.1`, 'Host: shop.example', `Request-Id: drip-${kind}`];
	socket.write(`${[...lines, `Deadline-Ms: ${REMAINING_MS}`, 'Content-Length: 0'].join('\r\n')}\r\n\r\n`);
	const timer = setTimeout(() => socket.destroy(), REMAINING_MS);
	socket.once('close', () => clearTimeout(timer));
	return new Promise(resolve => socket.once('close', () => resolve({ tookMs: performance.now() - sentAt, text })));
}

before(async () => {
	await new Promise<void>(resolve => server.listen(target.options.port, target.options.host, resolve));
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	await system.sendHeartbeat(target, 'orders');
	await waitFor('requests are served', async () =>
		(await system.request(entry, 'GET', '/safe/ready')).status === 200 ? true : undefined
	);
});

after(async () => {
	await system.stopAll();
	server.close();
});

for (const kind of KINDS) {
	/** Guards against a response in progress that is held until the caller's own deadline. */
	test(`a response that drips on a route of kind ${kind} ends at its time-out and does not look complete`, async () => {
		const { tookMs, text } = await send(kind);
		assert.match(text, /^HTTP\/1\.1 200 /);
		assert.ok(text.length < RESPONSE_BYTES);
		assert.ok(tookMs < ROUTE_TIMEOUT_MS + MAX_OVERDUE_MS, `held for ${Math.round(tookMs)} ms`);
	});
}
