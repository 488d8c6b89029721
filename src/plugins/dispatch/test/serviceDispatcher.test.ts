/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A target that passes to another owner between the choice and the first byte. */

import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, test } from 'node:test';
import { systemClock } from '../../../base/clock.js';
import { RequestError } from '../../../base/verdict.js';
import type { CarriedRequest, ResponseSink } from '../common/dispatch.js';
import type { ListedTarget } from '../common/target.js';
import { ServiceDispatcher, type ServicePolicy } from '../node/serviceDispatcher.js';

const POLICY: ServicePolicy = {
	service: 's',
	maxQueued: 10,
	initialServiceMs: 10,
	retryRatio: 0.1,
	slowStartMs: 0,
	cancelGraceMs: 0,
	leavingHoldMs: 0
} as unknown as ServicePolicy;
const servers: Server[] = [];
const seen: string[] = [];

async function listen(name: string): Promise<ListedTarget> {
	const server = createServer((_request, response) => {
		seen.push(name);
		response.end('done');
	});
	servers.push(server);
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()));
	const { port } = server.address() as AddressInfo;
	return { name, service: 's', url: `http://127.0.0.1:${port}`, hall: 'h', region: 'r', slots: 2, state: 'live' };
}

function request(signal: AbortSignal): CarriedRequest {
	return {
		requestId: 'r-1',
		service: 's',
		group: 'g',
		method: 'POST',
		path: '/',
		headers: {},
		body: Buffer.from('x'),
		deadline: systemClock.now() + 5000,
		isDeadlineStrict: true,
		isRepeatable: false,
		signal
	};
}

const SINK: ResponseSink = {
	start: () => undefined,
	write: () => true,
	onDrain: () => undefined,
	end: () => undefined,
	breakOff: () => undefined
};

let targets: ListedTarget[];

before(async () => {
	targets = [await listen('a'), await listen('b')];
});

after(() => servers.forEach(server => server.close()));

/** Starts a request while `first` is owned and lets the ownership pass to `second` before a byte is written. */
async function dispatchWhilePassing(first: string, second: string | undefined) {
	let owned: string | undefined = first;
	const dispatcher = new ServiceDispatcher(POLICY, {
		owns: name => name === owned,
		isDrained: () => false,
		weightOf: () => 1
	});
	dispatcher.takeList(targets);
	setImmediate(() => (owned = second));
	try {
		return await dispatcher.dispatch(request(new AbortController().signal), SINK);
	} finally {
		dispatcher.dispose();
	}
}

test('a request whose target was lost before its first byte is placed at another one', async () => {
	const result = await dispatchWhilePassing('a', 'b');
	assert.deepEqual([result.target, result.status, seen], ['b', 200, ['b']]);
});

test('where there is no other target it is refused with when to come back, and never reads as the caller’s leaving', async () => {
	await assert.rejects(dispatchWhilePassing('a', undefined), (error: unknown) => {
		assert.ok(error instanceof RequestError);
		assert.deepEqual([error.verdict, error.status, error.retryAfterMs !== undefined], ['not-run', 503, true]);
		return true;
	});
});
