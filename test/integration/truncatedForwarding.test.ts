/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Responses that break off after their beginning was forwarded, as callers of each HTTP version get them. */

import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { PassThrough } from 'node:stream';
import { after, before, test } from 'node:test';
import { TestListener } from '../../src/plugins/connections/test/testListener.js';
import type { TargetResponse } from '../../src/plugins/forwarding/common/attempt.js';
import type { IHeaderNames } from '../../src/plugins/forwarding/common/headerNames.js';
import { LinkPacer } from '../../src/plugins/forwarding/common/linkPacer.js';
import { CallerExchange } from '../../src/plugins/forwarding/node/callerExchange.js';
import { LinkScheduler } from '../../src/plugins/forwarding/node/linkScheduler.js';

const NAMES = { remainingMs: 'r', requestId: 'i', objectCookie: 'o', teamKey: 'k' } as unknown as IHeaderNames;
const REMAINING_MS = 5000;
const LAST_CHUNK = '\r\n0\r\n\r\n';
const listener = new TestListener();
const scheduler = new LinkScheduler(new LinkPacer(1000));
let port = 0;

/** Whether a caller takes a response that breaks off for a whole one (RFC 9112, section 8). */
function looksComplete(text: string, hasEnded: boolean): boolean {
	const [head = '', ...rest] = text.split('\r\n\r\n');
	const body = rest.join('\r\n\r\n');
	const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
	if (length !== undefined) {
		return body.length >= Number(length);
	}
	return /\r\ntransfer-encoding: chunked/i.test(head) ? text.endsWith(LAST_CHUNK) : hasEnded;
}

/** Sends a request and breaks off its response once the beginning has arrived. */
function receiveBrokenOff(
	version: string,
	rawHeaders: readonly string[]
): Promise<{ text: string; hasEnded: boolean }> {
	const remainingBody = new PassThrough();
	listener.onTaken = request => {
		const exchange = new CallerExchange(request, NAMES, scheduler);
		const body = Buffer.from('beginning');
		const deadline = performance.now() + REMAINING_MS;
		const response: TargetResponse = {
			type: 'answer',
			status: 200,
			rawHeaders: [...rawHeaders],
			endsWithConnection: false,
			body,
			remainingBody
		};
		exchange.forwardResponse(response, deadline);
	};
	return new Promise(resolve => {
		const socket = connect(port, '127.0.0.1').setEncoding('latin1');
		let text = '';
		let hasEnded = false;
		socket.on('data', (part: string) => {
			text += part;
			remainingBody.destroy();
		});
		socket.on('end', () => (hasEnded = true));
		socket.on('error', () => undefined);
		socket.on('close', () => resolve({ text, hasEnded }));
		socket.write(`GET / HTTP/${version}\r\nHost: a.example\r\n\r\n`);
	});
}

before(async () => {
	await listener.listen();
	port = listener.connections.port;
});

after(() => listener.connections.dispose());

for (const version of ['0.9', '1.0', '1.1', '2.0']) {
	test(`a chunked response that breaks off never looks whole to an HTTP/${version} caller`, async () => {
		const { text, hasEnded } = await receiveBrokenOff(version, ['Transfer-Encoding', 'chunked']);
		assert.ok(!looksComplete(text, hasEnded), text);
	});
}

/** Guards against a length that a target names as a header of its connection, and that is left out for it. */
test('a part of a response whose length is named as a header of its connection never looks whole', async () => {
	const { text, hasEnded } = await receiveBrokenOff('1.0', ['Connection', 'content-length', 'Content-Length', '1000']);
	assert.ok(!looksComplete(text, hasEnded), text);
});
