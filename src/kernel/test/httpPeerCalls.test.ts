/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Calls between processes: answers, failures, silence, and a peer that goes and comes back. */

import assert from 'node:assert/strict';
import { createServer as createHttpServer } from 'node:http';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { defineUnary } from '../common/peerMethods.js';
import { HttpPeerCalls } from '../node/httpPeerCalls.js';
import type { ISettingsService } from '../node/settingsService.js';

const echo = defineUnary<{ text: string }, { text: string }>('test', 'Echo');
const missing = defineUnary<{ text: string }, { text: string }>('test', 'Missing');

function createCalls(peerAddress = '127.0.0.1:0'): HttpPeerCalls {
	const settings: ISettingsService = {
		section: <T>() => ({ peerAddress }) as T,
		namedSections: <T>(): ReadonlyMap<string, T> => new Map(),
		reload: () => []
	};
	return new HttpPeerCalls(settings);
}

test('a call is answered, and a failure is told with its cause', async () => {
	const calls = createCalls();
	calls.handleUnary(echo, async request => {
		if (request.text === 'bad') {
			throw new Error('not this one');
		}
		return request;
	});
	const address = await calls.listen();
	const large = 'x'.repeat(3000000);
	assert.equal((await calls.call(address, echo, { text: large }, 2000)).text, large);
	await assert.rejects(calls.call(address, echo, { text: 'bad' }, 1000), /not this one/);
	await assert.rejects(calls.call(address, missing, { text: '' }, 1000), /404/);
	calls.dispose();
});

test('a peer that says nothing costs the time allowed and no more; one that comes back is reached again', async () => {
	const caller = createCalls();
	const silent = createServer(socket => socket.resume());
	await new Promise<void>(resolve => silent.listen(0, '127.0.0.1', () => resolve()));
	const address = `127.0.0.1:${(silent.address() as AddressInfo).port}`;
	const startedAt = performance.now();
	await assert.rejects(caller.call(address, echo, { text: 'a' }, 100), /no answer within 100 ms/);
	assert.ok(performance.now() - startedAt < 1000);
	await new Promise<void>(resolve => silent.close(() => resolve()));
	await assert.rejects(caller.call(address, echo, { text: 'a' }, 1000));
	const back = createCalls(address);
	back.handleUnary(echo, async request => request);
	await back.listen();
	assert.equal((await caller.call(address, echo, { text: 'a' }, 1000)).text, 'a');
	back.dispose();
	caller.dispose();
});

test('an answer that is no message fails the call and nothing else', async () => {
	const caller = createCalls();
	const garbling = createHttpServer((_request, response) => response.end(Buffer.from([0xc1])));
	await new Promise<void>(resolve => garbling.listen(0, '127.0.0.1', () => resolve()));
	const address = `127.0.0.1:${(garbling.address() as AddressInfo).port}`;
	await assert.rejects(caller.call(address, echo, { text: 'a' }, 1000), /unreadable answer/);
	caller.dispose();
	garbling.close();
});
