/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which responses of targets end with their connection, and which ones state no end that can be relied on. */

import assert from 'node:assert/strict';
import { type AddressInfo, createServer, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { BodyAccount } from '../../../kernel/common/bodyAccount.js';
import type { AttemptOutcome } from '../common/attempt.js';
import type { IHeaderNames } from '../common/headerNames.js';
import { RequestBody } from '../node/requestBody.js';
import { TargetExchange } from '../node/targetExchange.js';
import { TargetAgent } from '../node/targets/targetAgent.js';

const NAMES = { requestId: 'request-id', notRun: 'not-run' } as unknown as IHeaderNames;
const agent = new TargetAgent();
const sockets = new Set<Socket>();
let response = '';
const server = createServer(socket => {
	sockets.add(socket);
	socket.on('error', () => undefined);
	socket.on('data', () => socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: a\r\nConnection: close\r\n${response}`));
});

async function attempt(method: string, text: string): Promise<AttemptOutcome> {
	response = text;
	const body = await RequestBody.read({ headers: {} } as never, new BodyAccount(256));
	const { port } = server.address() as AddressInfo;
	const exchange = new TargetExchange(agent, NAMES, {
		attemptAtAddress: 1,
		requestId: 'a',
		targetId: 't',
		host: '127.0.0.1',
		port,
		method,
		path: '/',
		rawHeaders: ['Host', 'a', 'Request-Id', 'a'],
		body,
		connectTimeoutMs: 5000,
		maxBufferedBytes: 64 * 1024,
		onTargetReport: () => undefined,
		onWritten: () => undefined
	});
	return exchange.outcome;
}

/** Whether the response goes on as one that ends with its connection; undefined where it is broken. */
async function endsWithConnection(method: string, text: string): Promise<boolean | undefined> {
	const outcome = await attempt(method, text);
	return outcome.type === 'answer' ? outcome.endsWithConnection : undefined;
}

before(() => new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve)));

after(() => {
	agent.destroy();
	server.close();
	sockets.forEach(socket => socket.destroy());
});

test('a body whose last transfer coding is not chunked ends with its connection', async () => {
	for (const coding of ['identity', 'gzip', 'chunked, gzip']) {
		assert.equal(await endsWithConnection('GET', `Transfer-Encoding: ${coding}\r\n\r\nhalf`), true, coding);
	}
});

test('a body with a length or chunks does not end with its connection', async () => {
	assert.equal(await endsWithConnection('GET', 'Content-Length: 4\r\n\r\nbody'), false);
	assert.equal(
		await endsWithConnection('GET', 'Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'),
		false
	);
});

test('a response with a length and chunks, with two lengths, or less than its length is broken', async () => {
	for (const text of [
		'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
		'Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
		'Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody',
		'Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody',
		'Content-Length: 4, 4\r\n\r\nbody',
		'Content-Length: 9\r\n\r\nbody'
	]) {
		assert.equal(await endsWithConnection('GET', text), undefined, text);
	}
});
