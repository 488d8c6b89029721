/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Requests that waited for the event loop before they were read. */

import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { RawCaller, TestListener, until } from './testListener.js';

const READ_DELAY_MS = 400;
let listener: TestListener;
let caller: RawCaller;

beforeEach(async () => {
	listener = new TestListener();
	await listener.listen();
	caller = new RawCaller(listener.connections.port);
});

afterEach(() => {
	caller.socket.destroy();
	listener.connections.dispose();
});

/** Guards against a time-out that begins only when the request is read. */
test('the time that a request waited to be read counts from its arrival', async () => {
	listener.readDelayMs = READ_DELAY_MS;
	caller.send('/late');
	await until('the request is taken up', () => listener.taken.length === 1);
	assert.ok(listener.taken[0]!.arrivedAt <= performance.now() - READ_DELAY_MS);
});
