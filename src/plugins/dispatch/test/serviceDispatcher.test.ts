/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Loss of the ownership of a target after it was chosen and before the first byte of the request is sent. */

import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, test } from 'node:test';
import { systemClock } from '../../../base/clock.js';
import { RequestError } from '../../../base/verdict.js';
import type { DispatchRequest, ResponseSink } from '../common/dispatch.js';
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
const receivedBy: string[] = [];

async function listen(name: string): Promise<ListedTarget> {
	const server = createServer((_request, response) => {
		receivedBy.push(name);
		response.end('done');
	});
	servers.push(server);
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()));
	const { port } = server.address() as AddressInfo;
	return { name, service: 's', url: `http://127.0.0.1:${port}`, hall: 'h', region: 'r', slots: 2, state: 'live' };
}

function request(signal: AbortSignal): DispatchRequest {
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
	abort: () => undefined
};

let targets: ListedTarget[];

before(async () => {
	targets = [await listen('a'), await listen('b')];
});

after(() => servers.forEach(server => server.close()));

/** Dispatches a request while `first` is owned; `second` is owned instead before the first byte is sent. */
async function dispatchDuringOwnershipChange(first: string, second: string | undefined) {
	let owned: string | undefined = first;
	const dispatcher = new ServiceDispatcher(POLICY, {
		owns: name => name === owned,
		isDrained: () => false,
		weightOf: () => 1
	});
	dispatcher.updateTargets(targets);
	setImmediate(() => (owned = second));
	try {
		return await dispatcher.dispatch(request(new AbortController().signal), SINK);
	} finally {
		dispatcher.dispose();
	}
}

test('a request whose target is lost before its first byte is sent goes to another target', async () => {
	const result = await dispatchDuringOwnershipChange('a', 'b');
	assert.deepEqual([result.target, result.status, receivedBy], ['b', 200, ['b']]);
});

test('without another target it is refused with a retry delay, and not reported as cancelled by the caller', async () => {
	await assert.rejects(dispatchDuringOwnershipChange('a', undefined), (error: unknown) => {
		assert.ok(error instanceof RequestError);
		assert.deepEqual([error.verdict, error.status, error.retryAfterMs !== undefined], ['not-run', 503, true]);
		return true;
	});
});
