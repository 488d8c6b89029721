/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Responses of targets that break off within their headers. */

import assert from 'node:assert/strict';
import { type AddressInfo, createServer, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { truncatedHeads } from '../../../../test/fakes/truncatedHeads.js';
import type { DispatchRequest, ResponseSink } from '../common/dispatch.js';
import { type AttemptOutcome, TargetConnectionPool } from '../node/targetConnectionPool.js';

const REMAINING_MS = 2000;

let respond: (socket: Socket) => void = socket => socket.destroy();
const server = createServer(socket => {
	socket.on('error', () => undefined);
	socket.once('data', () => respond(socket));
});
let pool: TargetConnectionPool;
const received: string[] = [];

function attempt(): Promise<AttemptOutcome> {
	const sink = {
		start: (status: number) => received.push(`start ${status}`),
		write: () => received.push('write') > 0,
		end: () => received.push('end'),
		abort: () => received.push('abort')
	};
	const request = { requestId: 'r-1', method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0), group: 'g' };
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
});

for (const { place, text } of truncatedHeads('Shelffield-Request-Id: r-1')) {
	test(`nothing of a response that breaks off ${place} is forwarded, and the request may have run`, async () => {
		const ends = [
			(socket: Socket) => socket.end(text),
			(socket: Socket) => socket.write(text, () => socket.resetAndDestroy())
		];
		for (const end of ends) {
			respond = end;
			const outcome = await attempt();
			assert.deepEqual([outcome.kind, 'verdict' in outcome && outcome.verdict], ['failed', 'may-have-run']);
		}
		assert.deepEqual(received, []);
	});
}

/** Guards against a caller that gets an interim response of a target as the final one. */
test('an interim response is not forwarded, and the response behind it is', async () => {
	const final = 'HTTP/1.1 201 Created\r\nShelffield-Request-Id: r-1\r\nContent-Length: 2\r\n\r\nok';
	respond = socket => socket.end(`HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n${final}`);
	const outcome = await attempt();
	assert.deepEqual([outcome.kind, 'status' in outcome && outcome.status], ['answered', 201]);
	assert.deepEqual(received.splice(0), ['start 201', 'write', 'end']);
});
