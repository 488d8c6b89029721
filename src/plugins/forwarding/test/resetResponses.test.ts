/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Responses without a length whose connection is reset while a part of them waits to be read: Node.js reports an orderly end. */

import assert from 'node:assert/strict';
import { type AddressInfo, createServer, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { BodyAccount } from '../../../kernel/common/bodyAccount.js';
import type { IHeaderNames } from '../common/headerNames.js';
import { RequestBody } from '../node/requestBody.js';
import { TargetExchange } from '../node/targetExchange.js';
import { TargetAgent } from '../node/targets/targetAgent.js';

const NAMES = { requestId: 'request-id', notRun: 'not-run' } as unknown as IHeaderNames;
/** More than is buffered whole, and less than the operating system holds for a reader. */
const PART_BYTES = 300_000;
/** How long the part waits in the operating system before the connection ends. */
const WAIT_MS = 100;
const agent = new TargetAgent();
const sockets = new Set<Socket>();
let endConnection: (socket: Socket) => void = () => undefined;
const server = createServer(socket => {
	sockets.add(socket);
	socket.on('error', () => undefined);
	socket.on('data', () => {
		socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n${'x'.repeat(PART_BYTES)}`, () => {
			setTimeout(() => endConnection(socket), WAIT_MS);
		});
	});
});

/** Receives a response whose reader waits until its connection has ended; resolves with how it ended. */
async function receive(end: (socket: Socket) => void): Promise<string> {
	const isEnded = new Promise<void>(resolve => {
		endConnection = socket => {
			end(socket);
			resolve();
		};
	});
	const { port } = server.address() as AddressInfo;
	const exchange = new TargetExchange(agent, NAMES, {
		attemptAtAddress: 1,
		requestId: 'a',
		targetId: 't',
		host: '127.0.0.1',
		port,
		method: 'GET',
		path: '/',
		rawHeaders: ['Host', 'a', 'Request-Id', 'a'],
		body: await RequestBody.read({ headers: {} } as never, new BodyAccount(256)),
		connectTimeoutMs: 5000,
		maxBufferedBytes: 64 * 1024,
		onTargetReport: () => undefined,
		onWritten: () => undefined
	});
	const outcome = await exchange.outcome;
	assert.ok(outcome.type === 'answer' && outcome.remainingBody);
	await isEnded;
	await delay(WAIT_MS);
	const { remainingBody } = outcome;
	return new Promise(resolve => {
		remainingBody.once('end', () => resolve('whole')).once('error', () => resolve('broken'));
		remainingBody.resume();
	});
}

before(() => new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve)));

after(() => {
	agent.destroy();
	server.close();
	sockets.forEach(socket => socket.destroy());
});

test('a response without a length is whole when its connection ends in order while a part waits to be read', async () => {
	assert.equal(await receive(socket => socket.end()), 'whole');
});

test('a response without a length is not whole when its connection is reset while a part waits to be read', async () => {
	assert.equal(await receive(socket => socket.resetAndDestroy()), 'broken');
});
