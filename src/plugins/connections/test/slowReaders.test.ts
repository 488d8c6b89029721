/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Callers that ask for much and read nothing, on an instance with little memory. */

import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { HeldBytes, MemoryPressure } from '../common/memoryAccount.js';
import { delay, RawCaller, TestListener, UNREAD_TIMEOUT_MS, until } from './testListener.js';

const MEMORY_MB = 64;
/** Part of the memory that held bytes may use, in bytes. */
const LIMIT_BYTES = 1024 * 1024;
const RESPONSE_BYTES = 64 * 1024;
const PATHS = Array.from({ length: 400 }, (_, i) => `/${i}`);
let listener: TestListener;
let callers: RawCaller[];

beforeEach(async () => {
	listener = new TestListener(MEMORY_MB);
	await listener.listen();
	callers = [];
});

afterEach(() => {
	callers.forEach(({ socket }) => socket.destroy());
	listener.connections.dispose();
});

function connectCallers(count: number, isReading: boolean): RawCaller[] {
	const added = Array.from({ length: count }, () => new RawCaller(listener.connections.port, isReading));
	callers.push(...added);
	return added;
}

test('what is held for callers that read nothing stays within the account, and others are served', async () => {
	listener.onTaken = request => {
		assert.ok(listener.account.heldBytes(HeldBytes.ResponseBody) < 2 * LIMIT_BYTES);
		setTimeout(() => listener.answer(request, RESPONSE_BYTES), 5);
	};
	connectCallers(30, false).forEach(caller => caller.send(...PATHS));
	let peakBytes = 0;
	const [reader] = connectCallers(1, true);
	for (let i = 0; i < 20; i++) {
		reader!.send(`/reader-${i}`);
		await until('the reader is answered', () => reader!.bodies.length === i + 1);
		peakBytes = Math.max(peakBytes, listener.account.heldBytes(HeldBytes.ResponseBody));
		await delay(50);
	}
	assert.ok(peakBytes < 2 * LIMIT_BYTES, `${peakBytes} bytes`);
	assert.ok(listener.account.pressure < MemoryPressure.Close);
});

test('requests behind others wait while the account has no room, and are answered in order once it has', async () => {
	const other = listener.account.hold(HeldBytes.ResponseBody, 'other');
	other.resize(LIMIT_BYTES / 2);
	const [caller] = connectCallers(1, true);
	caller!.send('/1', '/2', '/3');
	await until('one is taken up', () => listener.taken.length === 1);
	await delay(50);
	assert.deepEqual([listener.paths, listener.taken[0]!.hasRoom], [['/1'], true]);
	other.release();
	listener.onTaken = request => listener.answer(request);
	listener.answer(listener.taken[0]);
	await until('all are answered', () => caller!.bodies.length === 3);
	assert.deepEqual(caller!.bodies, ['/1', '/2', '/3']);
});

test('a new request has no room while the account is nearly full', async () => {
	listener.account.hold(HeldBytes.ResponseBody, 'other').resize(LIMIT_BYTES * 0.8);
	const [caller] = connectCallers(1, true);
	caller!.send('/1');
	await until('it is taken up', () => listener.taken.length === 1);
	assert.equal(listener.taken[0]!.hasRoom, false);
	listener.answer(listener.taken[0]);
});

test('at a full account, connections of slow readers are closed, those with the most bytes first', async () => {
	const [small, large, idle] = connectCallers(3, false);
	small!.send('/small');
	large!.send('/large');
	idle!.send('/idle');
	await until('all are taken up', () => listener.taken.length === 3);
	const find = (path: string) => listener.taken.find(({ request }) => request.url === path);
	// Larger than what the operating system holds for a connection.
	listener.answer(find('/small'), 16 * LIMIT_BYTES);
	listener.answer(find('/large'), 32 * LIMIT_BYTES);
	await until('both are closed', () => listener.cancelled.length === 2);
	assert.deepEqual(listener.cancelled, ['/large', '/small']);
	listener.answer(find('/idle'));
	idle!.startReading();
	await until('the idle one is answered', () => idle!.bodies.length === 1);
	assert.match(await listener.metrics.registry.metrics(), /closed_early_total\{cause="memory"\} 2/);
});

test('a caller that reads nothing for some seconds is closed, one that reads slowly is not', async () => {
	const bytes = 32 * LIMIT_BYTES;
	listener.connections.dispose();
	listener = new TestListener(8192 * MEMORY_MB);
	await listener.listen();
	const [silentCaller, slowCaller] = connectCallers(2, false);
	silentCaller!.send('/silent');
	slowCaller!.send('/slow');
	await until('both are taken up', () => listener.taken.length === 2);
	listener.taken.forEach(request => listener.answer(request, bytes));
	const timer = setInterval(() => slowCaller!.socket.read(LIMIT_BYTES / 4), UNREAD_TIMEOUT_MS / 6);
	await until('the silent caller is closed', () => listener.cancelled.length === 1);
	await delay(2 * UNREAD_TIMEOUT_MS);
	clearInterval(timer);
	assert.deepEqual(listener.cancelled, ['/silent']);
	assert.match(await listener.metrics.registry.metrics(), /closed_early_total\{cause="unread"\} 1/);
});
