/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Large responses must not saturate the link, and must be transferred completely. */

import assert from 'node:assert/strict';
import { pipeline } from 'node:stream/promises';
import { Readable, Writable } from 'node:stream';
import { test } from 'node:test';
import type { Route } from '../../routes/common/routeTable.js';
import { LargeResponseLimiter } from '../common/largeResponseLimiter.js';
import { maxBufferedBytes, LinkPacer, PACED_CHUNK_BYTES } from '../common/linkPacer.js';
import { LinkScheduler } from '../node/linkScheduler.js';
import { PacedBody } from '../node/pacedBody.js';

test('two concurrent large responses leave a tenth of the link free after an initial burst', () => {
	const pacer = new LinkPacer(8);
	let now = 1000;
	const bytesSentUntil = (end: number): number => {
		let sent = 0;
		while (now < end) {
			const waits = [pacer.reserve(4000, now), pacer.reserve(4000, now)];
			sent += 8000;
			now += Math.max(...waits);
		}
		return sent;
	};
	const first = bytesSentUntil(2000);
	assert.ok(first > 970000 && first < 1025000, `${first} bytes in the first second of a link of 1000000`);
	for (let second = 2; second < 5; second++) {
		const sent = bytesSentUntil(1000 * (second + 1));
		assert.ok(sent > 885000 && sent < 915000, `${sent} bytes in a later second`);
	}
});

test('a single large response uses the whole link, even if timers fire late', () => {
	const pacer = new LinkPacer(2);
	const bytes = 90000;
	let now = 1000;
	for (let sent = 0; sent < bytes; sent += PACED_CHUNK_BYTES) {
		const waitMs = pacer.reserve(PACED_CHUNK_BYTES, now);
		now += waitMs > 0 ? waitMs + 1.5 : 0;
	}
	const linkMs = (bytes * 8) / 2000;
	assert.ok(now - 1000 < 1.05 * linkMs, `${now - 1000} ms, the link needs ${linkMs}`);
});

test('a chunk is not delayed on a fast link', () => {
	const pacer = new LinkPacer(1000);
	assert.equal(pacer.reserve(PACED_CHUNK_BYTES, 5), 0);
});

test('less of a response is buffered before it is forwarded on a slow link', () => {
	assert.equal(maxBufferedBytes(1000), 64 * 1024);
	assert.equal(maxBufferedBytes(1), 16 * 1024);
});

test('requests with large responses are admitted as far as the link can transfer them within their objective', () => {
	const limiter = new LargeResponseLimiter(8);
	const route = { name: 'files', objectiveMs: 420 } as Route;
	const first = limiter.tryAdmit(route)!;
	assert.equal(first, 0);
	limiter.recordSize(route, 200000);
	const admitted = [limiter.tryAdmit(route), limiter.tryAdmit(route), limiter.tryAdmit(route), limiter.tryAdmit(route)];
	assert.deepEqual(admitted, [200000, 200000, 200000, undefined]);
	limiter.release(200000);
	assert.equal(limiter.tryAdmit(route), 200000);
});

test('a single large response is admitted on any link', () => {
	const limiter = new LargeResponseLimiter(0.1);
	const route = { name: 'files', objectiveMs: 500 } as Route;
	limiter.recordSize(route, 200000);
	assert.equal(limiter.tryAdmit(route), 200000);
	assert.equal(limiter.tryAdmit(route), undefined);
});

test('chunks of the oldest body are sent first', async () => {
	const scheduler = new LinkScheduler(new LinkPacer(8));
	const orders = [scheduler.nextBodyNumber(), scheduler.nextBodyNumber()] as const;
	const sent: number[] = [];
	await new Promise<void>(resolve => {
		const onSent = (order: number): void => {
			sent.push(order);
			if (sent.length === 5) {
				resolve();
			}
		};
		for (const order of [orders[1], orders[1], orders[0], orders[1], orders[0]]) {
			scheduler.request(order, 4000, () => onSent(order));
		}
	});
	assert.deepEqual(sent, [orders[1], orders[0], orders[0], orders[1], orders[1]]);
});

test('a paced body is forwarded completely, in small chunks', async () => {
	const sent = Buffer.from(Array.from({ length: 50000 }, (_, i) => i % 251));
	const chunks: Buffer[] = [];
	const sink = new Writable({
		write: (chunk: Buffer, _encoding, done) => {
			chunks.push(chunk);
			done();
		}
	});
	await pipeline(
		Readable.from([sent.subarray(0, 30000), sent.subarray(30000)]),
		new PacedBody(new LinkScheduler(new LinkPacer(8))),
		sink
	);
	assert.deepEqual(Buffer.concat(chunks), sent);
	assert.ok(chunks.every(chunk => chunk.length <= PACED_CHUNK_BYTES));
});
