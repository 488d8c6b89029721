/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Bodies of callers that do not end, or are longer than the configuration allows. */

import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { PlatformTestSystem, createConfigDocument, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/order/', kind: 'unsafe', service: 'orders' }] as const;
const DEADLINE_MS = 300;
const MAX_BODY_BYTES = 400_000;
const LONG_DEADLINE_MS = 60_000;
const system = new PlatformTestSystem(3, 1);
const entry = system.entries[0]!;
const host = system.targetHost(1);
const target = new TestTarget({ id: 'i-1', host, port: 8080, slots: 10, workMs: 5, paddingBytes: 20 });

before(async () => {
	await target.listen();
	system.startAll();
	const document = JSON.parse(createConfigDocument(1, ROUTES)) as { limits: Record<string, unknown> };
	document.limits['max_body_bytes'] = MAX_BODY_BYTES;
	await system.publish(JSON.stringify(document), 0);
	await system.sendHeartbeat(target, 'orders');
	await waitFor('requests are served', async () =>
		(await system.request(entry, 'POST', '/order/1', { body: 'x' })).status === 200 ? true : undefined
	);
});

after(async () => {
	await system.stopAll();
	target.crash();
});

function headOf(id: string, framing: string, deadlineMs = DEADLINE_MS): string {
	return `POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\n${framing}\r\n\r\n`;
}

/** Sends bytes on a new connection; returns what came until its close on the other side. */
async function receiveUntilClose(send: (socket: Socket) => void): Promise<string> {
	const { host: hostname, port } = system.callerPort(entry);
	const socket = connect({ port, host: hostname, allowHalfOpen: true });
	socket.setEncoding('latin1');
	socket.on('error', () => undefined);
	let received = '';
	socket.on('data', (chunk: string) => (received += chunk));
	send(socket);
	await new Promise(resolve => socket.once('end', resolve).once('close', resolve));
	socket.destroy();
	return received;
}

for (const [name, framing, part] of [
	['in chunks', 'Transfer-Encoding: chunked', '4\r\npart\r\n'],
	['with a length', 'Content-Length: 100', 'part']
] as const) {
	test(`a body ${name} that has not come by the deadline of its request gets 408 and the close`, async () => {
		const id = `late ${name}`;
		const received = await receiveUntilClose(socket => socket.write(headOf(id, framing) + part));
		assert.match(received, /^HTTP\/1\.1 408 [^]*connection: close/i);
		assert.match(received, /verdict: not-run/i);
		assert.ok(!target.executedRequests.some(request => request.id === id));
	});
}

test('a body in chunks over the limit never looks whole to a target, and ends without a promise', async () => {
	const id = 'long chunks';
	const head = headOf(id, 'Transfer-Encoding: chunked', LONG_DEADLINE_MS);
	const chunk = `3e8\r\n${'x'.repeat(1000)}\r\n`;
	const received = await receiveUntilClose(socket => socket.write(head + chunk.repeat(MAX_BODY_BYTES / 1000 + 1)));
	assert.doesNotMatch(received, /^HTTP\/1\.1 (2|408|421|429|503)/);
	assert.ok(!target.executedRequests.some(request => request.id === id));
});

test('a body in chunks up to the limit is served', async () => {
	const id = 'chunks within the limit';
	const head = headOf(id, 'Transfer-Encoding: chunked\r\nConnection: close', LONG_DEADLINE_MS);
	const chunk = `3e8\r\n${'x'.repeat(1000)}\r\n`;
	const received = await receiveUntilClose(socket =>
		socket.write(`${head}${chunk.repeat(MAX_BODY_BYTES / 1000)}0\r\n\r\n`)
	);
	assert.match(received, /^HTTP\/1\.1 200/);
	const executed = target.executedRequests.find(request => request.id === id);
	assert.equal(executed?.body.length, MAX_BODY_BYTES);
});
