/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Peer calls over HTTP: responses, errors, timeouts, malformed responses and reconnecting to a restarted peer. */

import assert from 'node:assert/strict';
import { randomBytes } from 'node:crypto';
import { createServer as createHttpServer } from 'node:http';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { BodyAccount } from '../common/bodyAccount.js';
import { defineUnary } from '../common/peerMethods.js';
import { HttpPeerCalls } from '../node/httpPeerCalls.js';
import type { ILogService } from '../node/logService.js';
import type { ISettingsService } from '../node/settingsService.js';

const echoMethod = defineUnary<{ text: string }, { text: string }>('test', 'Echo');
const unregisteredMethod = defineUnary<{ text: string }, { text: string }>('test', 'Missing');

function createCalls(peerAddress = '127.0.0.1:0', account = new BodyAccount(256)): HttpPeerCalls {
	const settings: ISettingsService = {
		section: <T>() => ({ peerAddress }) as T,
		namedSections: <T>(): ReadonlyMap<string, T> => new Map(),
		reload: () => []
	};
	return new HttpPeerCalls(settings, {} as ILogService, account);
}

test('a call resolves to the response, or rejects with the error of the handler', async () => {
	const calls = createCalls();
	calls.handleUnary(echoMethod, async request => {
		if (request.text === 'bad') {
			throw new Error('handler failed');
		}
		return request;
	});
	const address = await calls.listen();
	const large = 'x'.repeat(3000000);
	assert.equal((await calls.call(address, echoMethod, { text: large }, 2000)).text, large);
	await assert.rejects(calls.call(address, echoMethod, { text: 'bad' }, 1000), /handler failed/);
	await assert.rejects(calls.call(address, unregisteredMethod, { text: '' }, 1000), /404/);
	calls.dispose();
});

test('a call to an unresponsive peer times out, and a restarted peer can be called again', async () => {
	const caller = createCalls();
	const silentPeer = createServer(socket => socket.resume());
	await new Promise<void>(resolve => silentPeer.listen(0, '127.0.0.1', () => resolve()));
	const address = `127.0.0.1:${(silentPeer.address() as AddressInfo).port}`;
	const startedAt = performance.now();
	await assert.rejects(caller.call(address, echoMethod, { text: 'a' }, 100), /no response within 100 ms/);
	assert.ok(performance.now() - startedAt < 1000);
	await new Promise<void>(resolve => silentPeer.close(() => resolve()));
	await assert.rejects(caller.call(address, echoMethod, { text: 'a' }, 1000));
	const restartedPeer = createCalls(address);
	restartedPeer.handleUnary(echoMethod, async request => request);
	await restartedPeer.listen();
	assert.equal((await caller.call(address, echoMethod, { text: 'a' }, 1000)).text, 'a');
	restartedPeer.dispose();
	caller.dispose();
});

test('a malformed response rejects only its call', async () => {
	const caller = createCalls();
	const malformedPeer = createHttpServer((_request, response) => response.end(Buffer.from([0xc1])));
	await new Promise<void>(resolve => malformedPeer.listen(0, '127.0.0.1', () => resolve()));
	const address = `127.0.0.1:${(malformedPeer.address() as AddressInfo).port}`;
	await assert.rejects(caller.call(address, echoMethod, { text: 'a' }, 1000), /malformed response/);
	caller.dispose();
	malformedPeer.close();
});

test('a message that does not end gives up its memory for others, and its connection is closed', async () => {
	const account = new BodyAccount(1);
	const calls = createCalls('127.0.0.1:0', account);
	calls.handleUnary(echoMethod, async ({ text }) => ({ text: String(text.length) }));
	const address = await calls.listen();
	const [host, port] = address.split(':');
	const silent = connect(Number(port), host);
	const closed = new Promise<void>(resolve => silent.once('close', () => resolve()));
	silent.on('error', () => undefined).resume();
	silent.write(`POST ${echoMethod.path} HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n`);
	silent.write(`14000\r\n${'x'.repeat(0x14000)}\r\n`);
	while (account.heldBytes < 0x14000) {
		await new Promise(resolve => setImmediate(resolve));
	}
	const caller = createCalls();
	const text = randomBytes(40000).toString('hex');
	assert.equal((await caller.call(address, echoMethod, { text }, 5000)).text, '80000');
	await closed;
	assert.equal(account.heldBytes, 0);
	caller.dispose();
	calls.dispose();
});
