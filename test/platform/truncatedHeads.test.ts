/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Responses that break off within their headers never reach a caller as a response of their target. */

import assert from 'node:assert/strict';
import { createServer, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { truncatedHeads } from '../fakes/truncatedHeads.js';
import { createConfigDocument, type HttpResponse, PlatformTestSystem, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/order/', kind: 'unsafe', service: 'orders' }] as const;
const WHOLE_BODY = 'whole';
const system = new PlatformTestSystem(3, 1);
const entry = system.entries[0]!;
/** Only heartbeats are sent for it; `server` listens in its place. */
const target = new TestTarget({
	id: 'i-1',
	host: system.targetHost(1),
	port: 8080,
	slots: 10,
	workMs: 0,
	paddingBytes: 0
});
/** Responds to one request; the next ones get whole responses. */
let respondOnce: ((socket: Socket, id: string) => void) | undefined;
const server = createServer(socket => {
	socket.on('error', () => undefined);
	socket.on('data', (data: Buffer) => {
		const id = /request-id: (\S+)/i.exec(data.toString('latin1'))?.[1] ?? '';
		const respond = respondOnce ?? respondWhole;
		respondOnce = undefined;
		respond(socket, id);
	});
});

function respondWhole(socket: Socket, id: string): void {
	socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nContent-Length: ${WHOLE_BODY.length}\r\n\r\n${WHOLE_BODY}`);
}

/** Sends requests until the target has responded to one as set; returns the response of that one. */
function requestOnce(respond: (socket: Socket, id: string) => void): Promise<HttpResponse> {
	respondOnce = respond;
	return waitFor('the target responds', async () => {
		const response = await system.request(entry, 'POST', '/order/1');
		return respondOnce === undefined ? response : undefined;
	});
}

before(async () => {
	await new Promise<void>(resolve => server.listen(target.options.port, target.options.host, resolve));
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	await system.sendHeartbeat(target, 'orders');
	assert.equal((await requestOnce(respondWhole)).status, 200);
});

after(async () => {
	await system.stopAll();
	server.close();
});

for (const [i, { place }] of truncatedHeads('').entries()) {
	test(`a response that breaks off ${place} becomes 502, whether its connection is closed or reset`, async () => {
		const textFor = (id: string): string => truncatedHeads(`Request-Id: ${id}`)[i]!.text;
		const closed = await requestOnce((socket, id) => socket.end(textFor(id)));
		const reset = await requestOnce((socket, id) => socket.write(textFor(id), () => socket.resetAndDestroy()));
		const results = [closed, reset].map(({ status, headers }) => [status, headers['shelffield-verdict']]);
		assert.deepEqual(results, [
			[502, 'may-have-run'],
			[502, 'may-have-run']
		]);
	});
}
