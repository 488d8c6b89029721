/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How bodies of callers are read. */

import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { RawCaller, TestListener, until } from './testListener.js';

const CHUNK = '1\r\nx\r\n';
const CHUNKS = 100_000;
/** Bytes of a body that are parsed at a time. */
const SLICE_BYTES = 16 * 1024;
/** The same while headers are expected. */
const HEADER_SLICE_BYTES = 1024;
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

test('a body in chunks of one byte does not keep others from being served until all that came of it is parsed', async () => {
	let received = 0;
	const inTurn: number[] = [];
	listener.onTaken = ({ request }) => {
		let turn: NodeJS.Immediate | undefined;
		let parsed = 0;
		request.on('data', (chunk: Buffer) => {
			received += chunk.length;
			parsed += chunk.length;
			turn ??= setImmediate(() => {
				inTurn.push(parsed);
				[parsed, turn] = [0, undefined];
			});
		});
	};
	caller.socket.write('POST /once HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n' + CHUNK.repeat(CHUNKS));
	await until('the body is read', () => received === CHUNKS);
	await new Promise(setImmediate);
	// Between two immediates of the test lie the end of one turn and the beginning of the next.
	const maxBytes = HEADER_SLICE_BYTES + 2 * SLICE_BYTES;
	assert.ok(Math.max(...inTurn) <= maxBytes / CHUNK.length, `${Math.max(...inTurn)} chunks`);
});

test('an answered request keeps its connection where the rest of its body comes, and loses it where the body does not end', async () => {
	listener.idleTimeoutMs = 60_000;
	listener.onTaken = request => {
		request.request.resume();
		listener.answer(request);
	};
	const head = 'POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n';
	const endless = new RawCaller(listener.connections.port);
	endless.socket.write(head + 'part');
	caller.socket.write(head + 'part');
	await until('both are answered', () => caller.responses.length === 1 && endless.responses.length === 1);
	caller.socket.write('x'.repeat(96));
	caller.send('/next');
	await until('the next request is answered', () => caller.responses.length === 2);
	await until('the endless one is closed', () => endless.isClosed, 20_000);
	assert.deepEqual([endless.bodies, caller.isClosed], [['/once'], false]);
});

for (const [name, beginning, isPaused] of [
	['paused bodies', 'POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n', true],
	['headers that do not end', 'GET /once HTTP/1.1\r\nLong: ', false]
] as const) {
	test(`a crowd of ${name} holds no more memory than it may, and others are served`, async () => {
		const small = new TestListener(1024, 1);
		await small.listen();
		small.onTaken = ({ request }) => (isPaused && request.method === 'POST' ? request.pause() : undefined);
		const { limitBytes } = small.bodyAccount;
		const crowd = Array.from({ length: 60 }, () => new RawCaller(small.connections.port));
		crowd.forEach(({ socket }) => socket.write(beginning + 'x'.repeat(isPaused ? 200_000 : 4000)));
		await until('connections are closed', () => crowd.some(({ isClosed }) => isClosed));
		assert.ok(small.bodyAccount.heldBytes <= limitBytes, `${small.bodyAccount.heldBytes} bytes`);
		const other = new RawCaller(small.connections.port);
		other.send('/other');
		await until('the other is served', () => small.paths.includes('/other'));
		assert.equal(other.isClosed, false);
		[...crowd, other].forEach(({ socket }) => socket.destroy());
		small.connections.dispose();
		await until('nothing is held any more', () => small.bodyAccount.heldBytes === 0);
	});
}
