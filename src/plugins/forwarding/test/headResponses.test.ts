/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Responses to HEAD, which have no body and thus no end to state. */

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

before(() => new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve)));

after(() => {
	agent.destroy();
	server.close();
	sockets.forEach(socket => socket.destroy());
});

test('a response to HEAD without a length does not end with its connection', async () => {
	const outcome = await attempt('HEAD', '\r\n');
	assert.deepEqual([outcome.type, outcome.type === 'answer' && outcome.endsWithConnection], ['answer', false]);
});
