/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** When requests arrived that were read late. */

import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { connect } from 'node:net';
import { systemClock } from '../../base/clock.js';
import type { ArrivalTimes } from '../node/arrivalTimes.js';
import { HttpListener } from '../node/httpListener.js';

const CLIENTS = 8;
const STALL_MS = 1000;
const WORK_MS = 20;

/** As after a stall: the input that is read first is known to be late. */
class StallOnce {
	private _isLate = true;

	readDelayMs(): number {
		const delayMs = this._isLate ? STALL_MS : 0;
		this._isLate = false;
		return delayMs;
	}
}

const listener = new HttpListener({
	address: '127.0.0.1:0',
	maxConnections: 100,
	metrics: { contentType: 'text/plain', render: async () => '' } as never,
	isReady: () => true,
	onError: error => assert.fail(error)
});
after(() => listener.dispose());

/** Guards against connections behind others that count as on time, since the event loop is by the time that it accepts them. */
test('all requests that waited for a stall to end arrived before it', async () => {
	const arrivalTimes: ArrivalTimes = listener.recordArrivals(new StallOnce());
	const delaysMs: number[] = [];
	listener.on('GET', '/late', (request, response) => {
		const arrivedAt = arrivalTimes.arrivedAt(request);
		const readAt = systemClock.now();
		delaysMs.push(readAt - arrivedAt);
		const until = readAt + WORK_MS;
		while (systemClock.now() < until) {}
		response.end();
	});
	const [host, port] = (await listener.listen()).split(':') as [string, string];
	await Promise.all(
		Array.from({ length: CLIENTS }, async () => {
			const socket = connect(Number(port), host).resume();
			socket.write('GET /late HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n');
			await new Promise(resolve => socket.once('close', resolve));
		})
	);
	assert.equal(delaysMs.length, CLIENTS);
	assert.ok(Math.min(...delaysMs) >= STALL_MS, `waited for ${delaysMs.map(Math.round).join(', ')} ms`);
});
