/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Bodies of callers while they are received. */

import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';
import { BodyAccount } from '../../../kernel/common/bodyAccount.js';
import { BodyEvictedError } from '../../../kernel/node/bodyEvictedError.js';
import { BodyTooLargeError } from '../../../kernel/node/bodyTooLargeError.js';
import { BodyTruncatedError, MAX_BUFFERED_BYTES, RequestBody } from '../node/requestBody.js';

const MEMORY_MB = 1;

function createRequest(): PassThrough & IncomingMessage {
	return Object.assign(new PassThrough(), { headers: { 'transfer-encoding': 'chunked' } }) as never;
}

test('a body that stops short of its end gives its memory up for others, and is refused', async () => {
	const account = new BodyAccount(MEMORY_MB);
	const requests = Array.from({ length: 3 }, createRequest);
	const bodies = requests.map(request => RequestBody.read(request, account));
	const failure = assert.rejects(bodies[0]!, BodyEvictedError);
	for (const request of requests) {
		request.write(Buffer.alloc(MAX_BUFFERED_BYTES));
		await new Promise(setImmediate);
	}
	await failure;
	requests.forEach(request => request.end());
	assert.equal((await bodies[2]!).bufferedLength, MAX_BUFFERED_BYTES);
	assert.deepEqual([account.evictions, account.heldBytes], [1, 0]);
});

test('of a body over the limit exactly the limit is buffered, and the rest is streamed', async () => {
	const request = createRequest();
	const reading = RequestBody.read(request, new BodyAccount(MEMORY_MB));
	request.write(Buffer.alloc(MAX_BUFFERED_BYTES, 'a'));
	request.end(Buffer.from('rest'));
	const body = await reading;
	assert.deepEqual([body.prefix.length, body.bufferedLength], [MAX_BUFFERED_BYTES, undefined]);
	const target = new PassThrough();
	body.writeTo(target as never);
	const chunks = (await target.toArray()) as Buffer[];
	assert.equal(Buffer.concat(chunks).subarray(MAX_BUFFERED_BYTES).toString(), 'rest');
});

test('a caller that leaves in the midst of its body holds nothing any more', async () => {
	const account = new BodyAccount(MEMORY_MB);
	const request = createRequest();
	const reading = RequestBody.read(request, account);
	request.write('beginning');
	await new Promise(setImmediate);
	assert.ok(account.heldBytes > 0);
	request.destroy();
	await assert.rejects(reading, BodyTruncatedError);
	assert.equal(account.heldBytes, 0);
});

test('a target gets a streamed body in few chunks although it comes in chunks of one byte', async () => {
	const request = createRequest();
	const reading = RequestBody.read(request, new BodyAccount(MEMORY_MB));
	request.write(Buffer.alloc(MAX_BUFFERED_BYTES + 1));
	const body = await reading;
	const target = new PassThrough();
	body.writeTo(target as never);
	for (let i = 0; i < 1000; i++) {
		request.write('x');
	}
	request.end();
	const chunks = (await target.toArray()) as Buffer[];
	assert.equal(Buffer.concat(chunks).length, MAX_BUFFERED_BYTES + 1001);
	assert.ok(chunks.length < 10, `${chunks.length} chunks`);
});

test('a body that its target no longer takes is read on and discarded', async () => {
	const request = createRequest();
	const reading = RequestBody.read(request, new BodyAccount(MEMORY_MB));
	request.write(Buffer.alloc(MAX_BUFFERED_BYTES + 1));
	const body = await reading;
	const target = new PassThrough({ highWaterMark: 1 });
	body.writeTo(target as never);
	await new Promise(setImmediate);
	body.discardRest();
	const ended = new Promise(resolve => request.once('end', resolve));
	request.write(Buffer.alloc(MAX_BUFFERED_BYTES));
	request.end();
	await ended;
	assert.equal(target.writableEnded, false);
});

for (const [name, maxBytes] of [
	['while it is buffered', 1000],
	['while it is streamed', MAX_BUFFERED_BYTES + 1000]
] as const) {
	test(`a body without a length that is too long ${name} ends, and never looks whole`, async () => {
		const request = createRequest();
		let onTooLarge!: () => void;
		const exceeded = new Promise<void>(resolve => (onTooLarge = resolve));
		const limits = { maxBytes, onTooLarge };
		const reading = RequestBody.read(request, new BodyAccount(MEMORY_MB), limits);
		request.write(Buffer.alloc(Math.min(maxBytes, MAX_BUFFERED_BYTES) + 1));
		if (maxBytes < MAX_BUFFERED_BYTES) {
			await assert.rejects(reading, BodyTooLargeError);
			return;
		}
		const target = new PassThrough();
		(await reading).writeTo(target as never);
		target.resume();
		request.end(Buffer.alloc(1000));
		await exceeded;
		await new Promise(setImmediate);
		assert.equal(target.writableEnded, false);
	});
}
