/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Requests beyond the limits of the configuration are refused before they run. */

import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { PlatformTestSystem, createConfigDocument, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/order/', kind: 'unsafe', service: 'orders' }] as const;
/** Limits of `createConfigDocument`. */
const MAX_HEADER_BYTES = 16384;
const MAX_BODY_BYTES = 67108864;
const HEADER_TIMEOUT_MS = 3000;
const system = new PlatformTestSystem(3, 1);
const entry = system.entries[0]!;
const host = system.targetHost(1);
const target = new TestTarget({ id: 'i-1', host, port: 8080, slots: 10, workMs: 5, paddingBytes: 20 });

before(async () => {
	await target.listen();
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	await system.sendHeartbeat(target, 'orders');
	await waitFor('requests are served', async () =>
		(await system.request(entry, 'POST', '/order/1', { body: 'x' })).status === 200 ? true : undefined
	);
});

after(async () => {
	await system.stopAll();
	target.crash();
});

/** Sends bytes on a new connection and returns the status line and verdict of the response once the connection is closed. */
async function exchange(bytes: string): Promise<{ status: string; verdict: string | undefined }> {
	const { hostname, port } = new URL(system.callerUrl(entry));
	const socket = connect(Number(port), hostname);
	socket.setEncoding('latin1');
	let received = '';
	socket.on('data', (chunk: string) => (received += chunk));
	socket.write(bytes);
	await new Promise(resolve => socket.once('close', resolve));
	return { status: received.slice(9, 12), verdict: /verdict: (\S+)/i.exec(received)?.[1] };
}

test('headers up to the limit are accepted, longer ones get 431', async () => {
	const accepted = await system.request(entry, 'POST', '/order/1', { body: 'x', headers: { Long: 'x'.repeat(15000) } });
	assert.equal(accepted.status, 200);
	const refused = await system.request(entry, 'POST', '/order/1', {
		id: 'long-headers',
		body: 'x',
		headers: { Long: 'x'.repeat(MAX_HEADER_BYTES) }
	});
	assert.deepEqual([refused.status, refused.headers['shelffield-verdict']], [431, 'not-run']);
});

test('a longer body than the limit gets 413 without being read, and the connection is closed', async () => {
	const head = `POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: long-body\r\nContent-Length: ${MAX_BODY_BYTES + 1}\r\n\r\n`;
	assert.deepEqual(await exchange(`${head}beginning`), { status: '413', verdict: 'not-run' });
});

test('headers that are not complete within the limit get 408, and the connection is closed', async () => {
	const startedAt = performance.now();
	assert.equal((await exchange('POST /order/1 HTTP/1.1\r\nHost: shop.exam')).status, '408');
	const tookMs = performance.now() - startedAt;
	assert.ok(tookMs > HEADER_TIMEOUT_MS - 100 && tookMs < 2 * HEADER_TIMEOUT_MS, `${tookMs} ms`);
});

test('none of the refused requests reached a target', () => {
	const ids = target.executedRequests.map(({ id }) => id);
	assert.deepEqual([ids.includes('long-headers'), ids.includes('long-body')], [false, false]);
});
