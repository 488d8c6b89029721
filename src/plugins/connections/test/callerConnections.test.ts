/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Connections of callers with raw sockets: order, bound, and each way in which a connection ends. */

import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { MAX_SIDE_BY_SIDE } from '../common/requestPipeline.js';
import { delay, HEADER_TIMEOUT_MS, RawCaller, TestListener, until } from './testListener.js';

/** Time in which an event that must not occur would have occurred. */
const QUIET_MS = 50;
let listener: TestListener;
let caller: RawCaller;

beforeEach(async () => {
	listener = new TestListener();
	await listener.listen();
	caller = new RawCaller(listener.connections.port);
});

afterEach(() => {
	caller.socket.destroy();
	listener.connections.dispose();
});

async function taken(count: number): Promise<void> {
	await until(`${count} requests are taken up`, () => listener.taken.length >= count);
	await delay(QUIET_MS);
	assert.equal(listener.taken.length, count);
}

test('responses go to the caller in the order of the requests, whichever is complete first', async () => {
	caller.send('/1', '/2', '/3', '/4');
	await taken(4);
	for (const index of [3, 1, 2]) {
		listener.answer(listener.taken[index]);
	}
	await delay(QUIET_MS);
	assert.deepEqual(caller.bodies, []);
	listener.answer(listener.taken[0]);
	await until('all responses', () => caller.bodies.length === 4);
	assert.deepEqual(caller.bodies, ['/1', '/2', '/3', '/4']);
	assert.equal(caller.isClosed, false);
});

test('behind the bound, requests are neither taken up nor parsed until responses were sent', async () => {
	const paths = Array.from({ length: 400 }, (_, i) => `/${i}`);
	caller.send(...paths);
	await taken(MAX_SIDE_BY_SIDE);
	listener.onTaken = request => listener.answer(request);
	listener.taken.forEach(request => listener.answer(request));
	await until('all responses', () => caller.bodies.length === paths.length);
	assert.deepEqual(caller.bodies, paths);
});

test('a request that may run only once is taken up after the responses before it, and those behind after its own', async () => {
	caller.send('/1', '/2', '/once', '/4');
	await taken(2);
	listener.answer(listener.taken[1]);
	await taken(2);
	listener.answer(listener.taken[0]);
	await taken(3);
	listener.answer(listener.taken[2]);
	await taken(4);
	listener.answer(listener.taken[3]);
	await until('all responses', () => caller.bodies.length === 4);
	assert.deepEqual(caller.bodies, ['/1', '/2', '/once', '/4']);
});

test('at a stop, what was taken up is answered, the last response closes, and the rest is not taken up', async () => {
	caller.send(...Array.from({ length: MAX_SIDE_BY_SIDE + 30 }, (_, i) => `/${i}`));
	await taken(MAX_SIDE_BY_SIDE);
	listener.answer(listener.taken[1]);
	listener.connections.endTakingUp();
	[...listener.taken].reverse().forEach(request => request !== listener.taken[1] && listener.answer(request));
	await until('the connection is closed', () => caller.isClosed);
	assert.deepEqual(
		caller.responses.map(({ closes }) => closes),
		Array.from({ length: MAX_SIDE_BY_SIDE }, (_, i) => i === MAX_SIDE_BY_SIDE - 1)
	);
	assert.deepEqual([listener.taken.length, listener.connections.inFlight], [MAX_SIDE_BY_SIDE, 0]);
});

test('at a stop, idle connections close at once, and one that is accepted later closes after its first response', async () => {
	listener.onTaken = request => listener.answer(request);
	caller.send('/1');
	await until('a response', () => caller.bodies.length === 1);
	listener.connections.endTakingUp();
	await until('the idle connection is closed', () => caller.isClosed);
	caller = new RawCaller(listener.connections.port);
	caller.send('/2', '/3');
	await until('the connection is closed', () => caller.isClosed);
	assert.deepEqual(caller.responses, [{ status: 200, closes: true, body: '/2' }]);
	assert.deepEqual(listener.paths, ['/1', '/2']);
});

test('a stop after the last response has begun closes without announcing it', async () => {
	caller.send('/1', '/2');
	await taken(2);
	listener.answer(listener.taken[1]);
	listener.connections.endTakingUp();
	listener.answer(listener.taken[0]);
	await until('the connection is closed', () => caller.isClosed);
	assert.deepEqual(
		caller.responses.map(({ closes }) => closes),
		[false, false]
	);
});

test('a request that asks for the close is the last, and data behind it is ignored', async () => {
	caller.send('/1');
	caller.socket.write('GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n');
	await taken(2);
	listener.answer(listener.taken[1]);
	listener.answer(listener.taken[0]);
	await until('the connection is closed', () => caller.isClosed);
	assert.deepEqual(caller.responses, [
		{ status: 200, closes: false, body: '/1' },
		{ status: 200, closes: true, body: '/2' }
	]);
});

for (const [name, bytes, status] of [
	['malformed', 'NO SUCH THING\r\n\r\n', 400],
	['with too long headers', `GET /3 HTTP/1.1\r\nHost: h\r\nX: ${'x'.repeat(6000)}\r\n\r\n`, 431]
] as const) {
	test(`a request ${name} behind good ones is refused after their responses`, async () => {
		caller.send('/1', '/2');
		caller.socket.write(bytes);
		await taken(2);
		listener.answer(listener.taken[1]);
		await delay(QUIET_MS);
		assert.equal(caller.responses.length, 0);
		listener.answer(listener.taken[0]);
		await until('the connection is closed', () => caller.isClosed);
		assert.deepEqual(
			caller.responses.map(response => response.status),
			[200, 200, status]
		);
		assert.deepEqual([caller.responses[2]!.closes, listener.taken.length], [true, 2]);
	});

	test(`a request ${name} alone is refused at once`, async () => {
		caller.socket.write(bytes);
		await until('the connection is closed', () => caller.isClosed);
		assert.deepEqual(caller.responses, [{ status, closes: true, body: '' }]);
	});
}

test('a malformed body cancels its own request only', async () => {
	caller.send('/1');
	caller.socket.write('POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n');
	await taken(2);
	caller.socket.write('zz\r\n');
	await delay(QUIET_MS);
	assert.deepEqual(listener.cancelled, []);
	listener.answer(listener.taken[0]);
	await until('the connection is closed', () => caller.isClosed);
	assert.deepEqual([caller.responses.map(({ status }) => status), listener.cancelled], [[200, 400], ['/2']]);
});

for (const leave of ['end', 'resetAndDestroy'] as const) {
	test(`a caller that leaves (${leave}) cancels all its requests, and none behind them is taken up`, async () => {
		caller.send(...Array.from({ length: MAX_SIDE_BY_SIDE + 20 }, (_, i) => `/${i}`));
		await taken(MAX_SIDE_BY_SIDE);
		listener.answer(listener.taken[2]);
		const startedAt = performance.now();
		caller.socket[leave]();
		await until('all are cancelled', () => listener.cancelled.length === MAX_SIDE_BY_SIDE);
		assert.ok(performance.now() - startedAt < 250);
		await taken(MAX_SIDE_BY_SIDE);
		assert.equal(listener.connections.inFlight, 0);
	});
}

test('a response that breaks off closes the connection after the responses before it', async () => {
	caller.send('/1', '/2', '/3');
	await taken(3);
	listener.taken[1]!.response.writeHead(200, { 'Content-Length': '10' }).write('12345');
	listener.taken[1]!.abort(false);
	await delay(QUIET_MS);
	assert.deepEqual([caller.isClosed, listener.cancelled], [false, []]);
	listener.answer(listener.taken[0], 200000);
	await until('the connection is closed', () => caller.isClosed);
	assert.deepEqual([caller.bodies, listener.cancelled.sort()], [['/1'], ['/2', '/3']]);
});

test('a response that ends with its connection can only be the last', async () => {
	caller.send('/1', '/2');
	await taken(2);
	assert.equal(listener.taken[0]!.tryCloseConnection(), false);
	assert.equal(listener.taken[1]!.tryCloseConnection(), true);
	caller.send('/3');
	await taken(2);
	listener.answer(listener.taken[0]);
	listener.answer(listener.taken[1]);
	await until('the connection is closed', () => caller.isClosed);
	assert.deepEqual(
		caller.responses.map(({ closes }) => closes),
		[false, true]
	);
});

test('bodies of pipelined requests arrive whole, also large ones behind requests that wait', async () => {
	const body = 'y'.repeat(300000);
	const received: number[] = [];
	listener.onTaken = request => {
		let length = 0;
		request.request.on('data', (chunk: Buffer) => (length += chunk.length));
		request.request.on('end', () => {
			received.push(length);
			listener.answer(request);
		});
	};
	const post = `POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
	caller.send('/1');
	caller.socket.write(post + post);
	caller.send('/2');
	await until('all responses', () => caller.bodies.length === 4);
	assert.deepEqual(received, [0, body.length, body.length, 0]);
});

test('requests sent one at a time stay on one connection without an announced close', async () => {
	listener.onTaken = request => listener.answer(request, 3000);
	for (let i = 0; i < 50; i++) {
		caller.send(`/${i}`);
		await until('a response', () => caller.responses.length === i + 1);
	}
	assert.equal(
		caller.responses.every(({ status, closes }) => status === 200 && !closes),
		true
	);
	assert.equal(caller.isClosed, false);
});

for (const [name, first, bytes, expected] of [
	['whose headers are late', [], 'GET /2 HTTP/1.1\r\nHost', [408]],
	['whose headers are late behind a good one', ['/1'], 'GET /2 HTTP/1.1\r\nHost', [200, 408]]
] as const) {
	test(`a request ${name} is refused as not read`, async () => {
		caller.send(...first);
		await taken(first.length);
		const startedAt = performance.now();
		caller.socket.write(bytes);
		await delay(2 * HEADER_TIMEOUT_MS);
		listener.taken.forEach(request => listener.answer(request));
		await until('the connection is closed', () => caller.isClosed);
		assert.ok(performance.now() - startedAt > HEADER_TIMEOUT_MS);
		assert.deepEqual(
			caller.responses.map(({ status }) => status),
			expected
		);
		assert.equal(listener.taken.length, first.length);
	});
}

test('connections at rest, new or used, are not closed for late headers', async () => {
	const used = new RawCaller(listener.connections.port);
	listener.onTaken = request => listener.answer(request);
	used.send('/1');
	await delay(3 * HEADER_TIMEOUT_MS);
	caller.send('/2');
	used.send('/3');
	await until('all are answered', () => caller.bodies.length === 1 && used.bodies.length === 2);
	used.socket.destroy();
});

test('a long pipeline whose requests are answered at once holds up no request of another connection', async () => {
	const paths = Array.from({ length: 400 }, (_, i) => `/${i}`);
	const other = new RawCaller(listener.connections.port);
	let answeredBefore: number | undefined;
	listener.onTaken = request => {
		const until = performance.now() + 1;
		while (performance.now() < until) {
			// The work of a request that is refused.
		}
		listener.answer(request);
		if (request.request.url === '/other') {
			answeredBefore = listener.taken.length;
		} else if (request.request.url === '/20') {
			other.send('/other');
		}
	};
	caller.send(...paths);
	await until('all are answered', () => caller.bodies.length === paths.length && other.bodies.length === 1);
	assert.ok(answeredBefore! < 100, `${answeredBefore} requests were served before`);
	other.socket.destroy();
});

test('a connection that is idle after a response is closed after the idle timeout, and one in use is not', async () => {
	listener.idleTimeoutMs = 100;
	listener.onTaken = request => {
		setTimeout(() => listener.answer(request), 3 * listener.idleTimeoutMs);
	};
	const startedAt = performance.now();
	caller.send('/1');
	await until('the connection is closed', () => caller.isClosed);
	assert.deepEqual(caller.bodies, ['/1']);
	assert.ok(performance.now() - startedAt > 3.9 * listener.idleTimeoutMs);
});
