/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Attempts of one request at targets that use the same address one after the other. */

import assert from 'node:assert/strict';
import { type AddressInfo, createServer, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { BodyAccount } from '../../../kernel/common/bodyAccount.js';
import type { ChosenTarget } from '../../placement/common/targetChoice.js';
import { AttemptSender, type AttemptSenderDependencies } from '../node/attemptSender.js';
import { RequestBody } from '../node/requestBody.js';
import type { RequestContext } from '../node/requestContext.js';

const MEMORY_MB = 256;
const REMAINING_MS = 2000;
const MISDIRECTED = 'HTTP/1.1 421 Misdirected\r\nRequest-Id: a\r\nNot-Run: other\r\nContent-Length: 0\r\n\r\n';
const ANSWER = 'HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n';

/** Sockets that requests arrived on, in order. */
const arrivals: Socket[] = [];
/** Turns the first request away, and sends a late second copy of that where the response to the next one is due. */
const server = createServer(socket => {
	socket.on('error', () => undefined);
	socket.on('data', () => {
		arrivals.push(socket);
		if (arrivals.length === 1) {
			socket.write(MISDIRECTED);
			return;
		}
		arrivals[0]!.write(MISDIRECTED);
		setTimeout(() => socket.write(ANSWER), 20);
	});
});
let sender: AttemptSender;

function ignore(): void {}

function candidate(id: string): ChosenTarget {
	const { port } = server.address() as AddressInfo;
	const record = { id, bornAt: 0, service: 's', address: `127.0.0.1:${port}`, slots: 1 };
	const state = {
		backoff: { isActive: () => false, apply: ignore },
		inFlight: 0,
		load: () => 0,
		speed: { service: { invalidReports: 0 } }
	};
	return { known: { record, region: 'r', coldUntil: 0 }, state } as unknown as ChosenTarget;
}

async function createContext(): Promise<RequestContext> {
	const request = { method: 'POST', headers: {}, rawHeaders: ['Request-Id', 'a'] };
	return {
		exchange: { request, requestId: 'a', path: '/', arrivedAt: performance.now(), setDisconnectHandler: ignore },
		body: await RequestBody.read(request as never, new BodyAccount(MEMORY_MB)),
		route: {},
		service: 's',
		deadline: performance.now() + REMAINING_MS,
		tried: new Set(),
		attempts: [],
		attemptedAddresses: [],
		writtenAttempts: 0
	} as unknown as RequestContext;
}

before(async () => {
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
	const recorder = new Proxy({}, { get: () => ignore });
	const dependencies = {
		region: 'r',
		linkMbit: 1000,
		headerNames: { requestId: 'request-id', notRun: 'not-run', remainingMs: 'remaining', expectedTarget: 'expected' },
		view: { onDidRestartTarget: () => ({ dispose: ignore }), peakEntryCount: 1 },
		limits: { onDidChange: () => ({ dispose: ignore }), perSecond: ignore, applyReport: ignore },
		outcomeTracker: recorder,
		regionTrafficMonitor: recorder,
		lostRunDetector: recorder,
		backoffMonitor: recorder,
		limitMonitor: recorder,
		partitionMonitor: recorder,
		retryMonitor: recorder
	};
	sender = new AttemptSender(dependencies as unknown as AttemptSenderDependencies);
});

after(() => {
	sender.dispose();
	server.close();
	arrivals.forEach(socket => socket.destroy());
});

/** Guards against a request that runs at two targets, as a late second copy of a refusal is taken for its response. */
test('attempts at targets with the same address have connections of their own', async () => {
	const context = await createContext();
	const first = await sender.send(context, candidate('ended'), undefined);
	const second = await sender.send(context, candidate('successor'), undefined);
	assert.deepEqual([first.type, second.type], ['not-run', 'answer']);
	assert.notEqual(arrivals[0], arrivals[1]);
});
