/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Responses that targets break off, or whose end is the end of their connection. */

import assert from 'node:assert/strict';
import { type IncomingMessage, ServerResponse } from 'node:http';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';
import type { ICallerRequest } from '../../connections/common/callerConnections.js';
import type { TargetResponse } from '../common/attempt.js';
import type { IHeaderNames } from '../common/headerNames.js';
import { LinkPacer } from '../common/linkPacer.js';
import { CallerExchange, TruncationCause } from '../node/callerExchange.js';
import { LinkScheduler } from '../node/linkScheduler.js';

const LINK_MBIT = 1000;
const NAMES = { remainingMs: 'r', requestId: 'i', objectCookie: 'o', teamKey: 'k' } as unknown as IHeaderNames;

/** A request whose response is never read. */
class UnreadRequest implements ICallerRequest {
	readonly request = { method: 'GET', headers: {}, rawHeaders: [] as string[] } as unknown as IncomingMessage;
	readonly response = new ServerResponse({
		method: 'GET',
		httpVersionMajor: 1,
		httpVersionMinor: 1
	} as IncomingMessage);
	readonly arrivedAt = 0;
	readonly hasRoom = true;
	readonly closesConnection = false;
	readonly aborts: boolean[] = [];

	constructor(private readonly _isLast: boolean) {}

	tryCloseConnection(): boolean {
		return this._isLast;
	}

	tryBeginUnframed(): boolean {
		return this._isLast;
	}

	abort(withReset: boolean): void {
		this.aborts.push(withReset);
	}

	setCloseHandler(): void {}
}

function forward(
	bytes: number,
	endsWithConnection: boolean,
	isLast = true,
	remainingMs = 60000
): { request: UnreadRequest; body: PassThrough; causes: TruncationCause[] } {
	const request = new UnreadRequest(isLast);
	const exchange = new CallerExchange(request, NAMES, new LinkScheduler(new LinkPacer(LINK_MBIT)));
	const causes: TruncationCause[] = [];
	exchange.setTruncationHandler(cause => causes.push(cause));
	const body = new PassThrough();
	const response: TargetResponse = {
		type: 'answer',
		status: 200,
		rawHeaders: [],
		endsWithConnection,
		body: Buffer.from('beginning'),
		remainingBody: body
	};
	exchange.forwardResponse(response, performance.now() + remainingMs);
	body.write(Buffer.alloc(bytes));
	return { request, body, causes };
}

for (const [name, bytes, expected] of [
	['was not read by its caller', 200000, TruncationCause.Unread],
	['was read as far as it came', 100, TruncationCause.Target]
] as const) {
	test(`a target breaks off a response that ${name}: the cause is '${expected}'`, async () => {
		const { request, body, causes } = forward(bytes, false);
		await new Promise(resolve => setTimeout(resolve, 20));
		body.destroy(new Error('reset'));
		await new Promise(setImmediate);
		assert.deepEqual([causes, request.aborts], [[expected], [false]]);
	});
}

test('a response whose end is the end of the connection is reset if it breaks off, so that it does not look complete', async () => {
	const { request, body } = forward(100, true);
	body.destroy(new Error('reset'));
	await new Promise(setImmediate);
	assert.deepEqual(request.aborts, [true]);
});

test('a response whose end is the end of the connection is replaced if responses have to follow', () => {
	const { request, body } = forward(100, true, false);
	assert.deepEqual([request.response.statusCode, body.destroyed], [502, true]);
	assert.equal(request.response.getHeader('shelffield-verdict'), 'may-have-run');
});

/** Guards against a response in progress that is held until the caller's own deadline. */
test('a response that is not complete at the deadline breaks off, and its target is left', async () => {
	const { request, body, causes } = forward(100, false, true, 20);
	assert.deepEqual(request.aborts, []);
	await new Promise(resolve => setTimeout(resolve, 60));
	assert.deepEqual([causes, request.aborts, body.destroyed], [[TruncationCause.Deadline], [false], true]);
});
