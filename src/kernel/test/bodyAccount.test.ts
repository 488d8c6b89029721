/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The account of received bodies, and the buffer that collects one. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BodyAccount } from '../common/bodyAccount.js';
import { BodyBuffer } from '../node/bodyBuffer.js';
import { BodyEvictedError } from '../node/bodyEvictedError.js';
import { BodyTooLargeError } from '../node/bodyTooLargeError.js';

/** An eighth of it is for bodies. */
const MEMORY_MB = 8;
const MEGABYTE = 1024 * 1024;
const noop = (): void => undefined;

test('bodies that have waited longest for a further byte give up theirs, and never more is held than the limit', () => {
	const account = new BodyAccount(MEMORY_MB);
	const evicted: number[] = [];
	const bodies = [0, 1, 2].map(i => account.hold(() => evicted.push(i)));
	bodies.forEach(body => assert.ok(body.tryResize(MEGABYTE / 4)));
	assert.ok(bodies[0]!.tryResize(MEGABYTE / 2));
	assert.deepEqual(evicted, []);
	assert.ok(account.hold(noop).tryResize(MEGABYTE / 2));
	assert.deepEqual([evicted, account.heldBytes, account.evictions], [[1, 2], MEGABYTE, 2]);
});

test('bodies that give up their bytes again and again leave at most a fourth of the limit to the garbage collector', () => {
	let [collections, evictedBytes, mostBytes] = [0, 0, 0];
	const account = new BodyAccount(MEMORY_MB, () => {
		collections++;
		evictedBytes = 0;
	});
	for (let i = 0; i < 100; i++) {
		const bytes = MEGABYTE / 16;
		account.hold(() => (evictedBytes += bytes)).tryResize(bytes);
		mostBytes = Math.max(mostBytes, evictedBytes);
	}
	assert.ok(account.evictions >= 80 && collections >= 16);
	assert.ok(mostBytes <= MEGABYTE / 4, `${mostBytes} bytes waited`);
});

test('reads leave at most a fourth of the limit to the garbage collector while bodies are held, and none is started otherwise', () => {
	let collections = 0;
	const account = new BodyAccount(MEMORY_MB, () => collections++);
	for (let i = 0; i < 100; i++) {
		account.recordGarbage(MEGABYTE / 16);
	}
	assert.equal(collections, 0);
	account.hold(noop).tryResize(MEGABYTE / 2);
	for (let i = 0; i < 100; i++) {
		account.recordGarbage(MEGABYTE / 16);
	}
	assert.equal(collections, 20);
});

test('a body that is larger than the account is refused, and the others keep theirs', () => {
	const account = new BodyAccount(MEMORY_MB);
	const held = account.hold(() => assert.fail('evicted'));
	assert.ok(held.tryResize(100));
	assert.equal(account.hold(noop).tryResize(MEGABYTE + 1), false);
	held.release();
	assert.equal(account.heldBytes, 0);
});

test('a body is collected as it was sent, whatever its chunks, and leaves the account when it is taken', () => {
	const account = new BodyAccount(MEMORY_MB);
	const body = new BodyBuffer(account, MEGABYTE, noop);
	const sent = Buffer.from('a body in chunks of one byte, '.repeat(1000));
	sent.forEach(byte => body.append(Buffer.from([byte])));
	assert.ok(account.heldBytes >= sent.length && account.heldBytes < 4 * sent.length);
	assert.deepEqual(body.take(), sent);
	assert.equal(account.heldBytes, 0);
});

test('a body over its limit, or one that was evicted, takes no further bytes', () => {
	const account = new BodyAccount(MEMORY_MB);
	assert.throws(() => new BodyBuffer(account, 10, noop).append(Buffer.alloc(11)), BodyTooLargeError);
	let evictions = 0;
	const first = new BodyBuffer(account, MEGABYTE, () => evictions++);
	first.append(Buffer.alloc(MEGABYTE / 2));
	new BodyBuffer(account, MEGABYTE, noop).append(Buffer.alloc(MEGABYTE));
	assert.equal(evictions, 1);
	assert.throws(() => first.append(Buffer.alloc(1)), BodyEvictedError);
});
