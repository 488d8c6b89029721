/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Requests through an entry instance, among others to targets that fail in various ways. */

import assert from 'node:assert/strict';
import { request as httpRequest } from 'node:http';
import { after, before, beforeEach, test } from 'node:test';
import { PlatformTestSystem, createConfigDocument, waitFor } from './platformTestSystem.js';
import { type InjectedFault, TestTarget } from './testTarget.js';

const ROUTES = [
	{ prefix: '/read/', kind: 'safe', service: 'reads' },
	{ prefix: '/order/', kind: 'unsafe', service: 'reads' },
	{ prefix: '/brief/', kind: 'unsafe', service: 'slow', timeout: '300ms' },
	{ prefix: '/slow/', kind: 'safe', service: 'slow' }
] as const;
/** Requests that allow for the retries that a test needs, at less than a fifth of the requests. */
const REQUESTS_FOR_RETRIES = 15;
const system = new PlatformTestSystem(3, 2);

/** Faults of the next requests, whichever target gets them. */
const injectedFaults: InjectedFault[] = [];

function createTarget(index: number, workMs: number, paddingBytes = 2000): TestTarget {
	const host = system.targetHost(index);
	return new TestTarget({ id: `i-${index}`, host, port: 8080, slots: 4, workMs, paddingBytes }, injectedFaults);
}

const readTargets = [createTarget(1, 5), createTarget(2, 5)];
const slowTarget = createTarget(3, 1500, 200000);
const entry = system.entries[0]!;

/** Number of executions of a request at all targets. */
function countExecutions(id: string): number {
	return [...readTargets, slowTarget].flatMap(target => target.executedRequests).filter(request => request.id === id)
		.length;
}

before(async () => {
	await Promise.all([...readTargets, slowTarget].map(target => target.listen()));
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	await Promise.all(readTargets.map(target => system.sendHeartbeat(target, 'reads')));
	await system.sendHeartbeat(slowTarget, 'slow');
	for (const [path, instance] of system.entries.flatMap(item => [
		['/read/1', item] as const,
		['/slow/1', item] as const
	])) {
		await waitFor(`${path} is served`, async () =>
			(await system.request(instance, 'GET', path)).status === 200 ? true : undefined
		);
	}
});

beforeEach(async () => {
	injectedFaults.length = 0;
	await waitFor('both targets are used again', async () =>
		(await system.request(entry, 'GET', '/read/1')).status === 200 ? true : undefined
	);
	for (let i = 0; i < REQUESTS_FOR_RETRIES; i++) {
		await system.request(entry, 'GET', '/read/1');
	}
});

after(async () => {
	await system.stopAll();
	[...readTargets, slowTarget].forEach(target => target.crash());
});

test('a request reaches a target unchanged, with its remaining time and the expected instance', async () => {
	const response = await system.request(entry, 'POST', '/order/7?a=b', {
		id: 'whole',
		body: 'two units',
		remainingMs: 900
	});
	assert.equal(response.status, 200);
	assert.match(String(response.headers['server-stamp']), /^i-[12]$/);
	const request = readTargets.flatMap(target => target.executedRequests).find(item => item.id === 'whole')!;
	assert.deepEqual([request.method, request.path, request.body], ['POST', '/order/7?a=b', 'two units']);
	assert.ok(request.remainingMs > 0 && request.remainingMs <= 900);
	assert.match(response.body, /^whole:x{2000}$/);
});

test('a chunked body arrives complete', async () => {
	const response = await system.request(entry, 'POST', '/order/7', {
		id: 'chunked',
		body: 'y'.repeat(300000),
		headers: { 'Transfer-Encoding': 'chunked' }
	});
	assert.equal(response.status, 200);
	assert.equal(
		readTargets.flatMap(target => target.executedRequests).find(item => item.id === 'chunked')!.body.length,
		300000
	);
});

for (const fault of ['reset', 'cut', 'other-id'] as const) {
	test(`fault '${fault}': a repeatable request is retried at another target, an at-most-once request is not`, async () => {
		injectedFaults.push(fault);
		const read = await system.request(entry, 'GET', '/read/1', { id: `read-${fault}` });
		assert.deepEqual([read.status, read.body.slice(0, 5)], [200, 'read-']);
		await waitFor('the target is used again', async () =>
			(await system.request(entry, 'GET', '/read/1')).status === 200 ? true : undefined
		);
		injectedFaults.push(fault);
		const order = await system.request(entry, 'POST', '/order/1', { id: `order-${fault}`, body: 'x' });
		assert.equal(order.status, 502);
		assert.equal(countExecutions(`order-${fault}`), 1);
	});
}

test('an error response of a target is retried for a repeatable request and passed on for an at-most-once request', async () => {
	injectedFaults.push('error');
	const read = await system.request(entry, 'GET', '/read/1', { id: 'read-error' });
	assert.deepEqual([read.status, countExecutions('read-error')], [200, 2]);
	injectedFaults.push('error', 'error');
	const failed = await system.request(entry, 'GET', '/read/1', { id: 'read-errors' });
	assert.deepEqual([failed.status, countExecutions('read-errors')], [500, 2]);
	assert.match(String(failed.headers['server-stamp']), /^i-[12]$/);
	injectedFaults.push('error');
	const order = await system.request(entry, 'POST', '/order/1', { id: 'order-error', body: 'x' });
	assert.deepEqual([order.status, countExecutions('order-error')], [500, 1]);
});

test('a response without a length is passed on without one, since it cannot be verified as complete', async () => {
	injectedFaults.push('unframed');
	const response = await system.request(entry, 'GET', '/read/1', { id: 'unframed' });
	assert.deepEqual([response.status, response.body.length], [200, 'unframed:'.length + 2000]);
	const framing = [
		response.headers['content-length'],
		response.headers['transfer-encoding'],
		response.headers.connection
	];
	assert.deepEqual(framing, [undefined, undefined, 'close']);
});

test('data that a target sends after its response reaches no caller', async () => {
	injectedFaults.push('extra', 'extra', 'extra');
	for (let i = 0; i < 8; i++) {
		const response = await system.request(entry, 'GET', `/read/${i}`, { id: `extra-${i}` });
		assert.deepEqual([response.status, response.body.slice(0, 8)], [200, `extra-${i}:`]);
	}
});

test('a request rejected by a full target runs once at another target', async () => {
	injectedFaults.push('full');
	const response = await system.request(entry, 'POST', '/order/1', { id: 'full', body: 'x' });
	assert.deepEqual([response.status, countExecutions('full')], [200, 1]);
});

test('a repeatable request that may have run is never reported as not run', async () => {
	const faults: readonly InjectedFault[] = ['reset', 'full', 'full', 'full'];
	// If no target gets the request since all were full or slow shortly before, the entry instance correctly reports it as not run.
	const response = await waitFor('a request reaches a target', async () => {
		injectedFaults.splice(0, injectedFaults.length, ...faults);
		const latest = await system.request(entry, 'GET', '/read/1');
		return injectedFaults.length < faults.length ? latest : undefined;
	});
	assert.equal(response.status, 502, response.body);
	assert.equal((JSON.parse(response.body) as { verdict: string }).verdict, 'may-have-run');
});

test('an unknown route gets 404, and a route’s timeout ends a request with 504', async () => {
	assert.equal((await system.request(entry, 'GET', '/none/1')).status, 404);
	const startedAt = performance.now();
	const response = await system.request(entry, 'POST', '/brief/1', { body: 'x' });
	assert.equal(response.status, 504);
	assert.ok(performance.now() - startedAt < 1000);
});

/** Guards against requests that are smuggled inside the body of another one. */
for (const method of ['GET', 'DELETE', 'POST']) {
	test(`a body whose length the caller names as a header of its connection stays the body of a ${method}`, async () => {
		const [id, inner] = [`outer-${method}`, `inner-${method}`];
		const body = [
			`GET /order/1 HTTP/1.1`,
			'Host: shop.example',
			`Request-Id: ${inner}`,
			'Expect-Instance: i-1',
			'',
			''
		].join('\r\n');
		const headers = { Connection: 'keep-alive, Content-Length', 'Content-Length': String(body.length) };
		const response = await system.request(entry, method, '/order/1', { id, body, headers });
		assert.equal(response.status, 200);
		const received = readTargets.flatMap(target => target.executedRequests);
		assert.equal(received.find(request => request.id === id)!.body, body);
		assert.equal(received.filter(request => request.id === inner).length, 0);
	});
}

test('a request is cancelled at the target if its caller disconnects', async () => {
	const url = `${system.callerUrl(entry)}/slow/1`;
	const request = httpRequest(url, { headers: { Host: 'shop.example', 'Request-Id': 'left', 'Deadline-Ms': '3000' } });
	request.on('error', () => undefined);
	request.end();
	const received = await waitFor('the request runs', async () =>
		slowTarget.executedRequests.find(item => item.id === 'left')
	);
	request.destroy();
	await waitFor('the request is cancelled', async () => (received.closedEarly ? true : undefined), 1000);
});

test('an instance keeps serving after its log output was closed', async () => {
	entry.child!.stdout!.destroy();
	for (let i = 0; i < 30; i++) {
		assert.equal((await system.request(entry, 'GET', `/read/${i}`)).status, 200);
	}
	assert.equal(entry.child!.exitCode, null);
});

test('a graceful stop completes all requests, including large responses', async () => {
	const stopped = system.entries[1]!;
	const responses = [1, 2, 3].map(i => system.request(stopped, 'GET', `/slow/${i}`, { id: `stop-${i}` }));
	await waitFor('all requests run', async () =>
		slowTarget.executedRequests.filter(request => request.id.startsWith('stop-')).length === 3 ? true : undefined
	);
	const exited = system.stop(stopped, 'SIGTERM');
	await waitFor('the instance is no longer ready', async () => ((await system.isReady(stopped)) ? undefined : true));
	for (const response of await Promise.all(responses)) {
		assert.deepEqual([response.status, response.body.length], [200, 'stop-1:'.length + 200000]);
	}
	assert.equal(await exited, 0);
});
