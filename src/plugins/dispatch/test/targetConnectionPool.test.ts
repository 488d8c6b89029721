/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Responses of targets that belong to another request. */

import assert from 'node:assert/strict';
import { type AddressInfo, createServer, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type { DispatchRequest, ResponseSink } from '../common/dispatch.js';
import { type AttemptOutcome, TargetConnectionPool } from '../node/targetConnectionPool.js';

const REMAINING_MS = 2000;

const sockets = new Set<Socket>();
let requestCount = 0;
/** Responds to the first request, and again where the response to the second one is due. */
const server = createServer(socket => {
	sockets.add(socket);
	socket.on('error', () => undefined);
	socket.on('data', () => {
		requestCount++;
		socket.write('HTTP/1.1 200 OK\r\nShelffield-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n');
	});
});
let pool: TargetConnectionPool;
const started: number[] = [];

function attempt(requestId: string): Promise<AttemptOutcome> {
	const sink = { start: (status: number) => started.push(status), write: () => true, end: () => undefined };
	const request = { requestId, method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0), group: 'g' };
	return pool.attempt({
		request: { ...request, deadline: performance.now() + REMAINING_MS } as unknown as DispatchRequest,
		sink: sink as unknown as ResponseSink,
		mayRetry: () => false,
		maySend: () => true,
		signal: new AbortController().signal
	});
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

/** Guards against a caller that gets the response to another request, a second copy of which arrives late. */
test('a response that names another request is not forwarded, and the request may have run', async () => {
	assert.equal((await attempt('r-1')).kind, 'answered');
	await delay(20);
	const outcome = await attempt('r-2');
	assert.deepEqual([outcome.kind, 'verdict' in outcome && outcome.verdict], ['failed', 'may-have-run']);
	assert.deepEqual([started.length, requestCount], [1, 2]);
});
