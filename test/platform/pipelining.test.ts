/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Callers that pipeline requests to an entry instance: order, cancelling, and a graceful stop. */

import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { type Instance, PlatformTestSystem, createConfigDocument, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [
	{ prefix: '/read/', kind: 'safe', service: 'reads' },
	{ prefix: '/order/', kind: 'unsafe', service: 'reads' }
] as const;
const WORK_MS = 60;
const system = new PlatformTestSystem(3, 2);

const targets = [1, 2].map(
	index =>
		new TestTarget({
			id: `i-${index}`,
			host: system.targetHost(index),
			port: 8080,
			slots: 100,
			workMs: WORK_MS,
			paddingBytes: 200
		})
);

/** A caller that sends bytes as they are. */
class PipeliningCaller {
	readonly socket: Socket;
	received = '';
	isClosed = false;

	constructor(entry: Instance) {
		const { hostname, port } = new URL(system.callerUrl(entry));
		this.socket = connect(Number(port), hostname);
		this.socket.setEncoding('latin1');
		this.socket.on('error', () => undefined);
		this.socket.once('close', () => (this.isClosed = true));
	}

	startReading(): this {
		this.socket.on('data', (chunk: string) => (this.received += chunk));
		return this;
	}

	send(method: string, path: string, ids: readonly string[]): this {
		const request = (id: string): string =>
			`${method} ${path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 4000\r\n\r\n`;
		this.socket.write(ids.map(request).join(''));
		return this;
	}

	/** Ids of the responses with status 200, in order of arrival. */
	get answeredIds(): string[] {
		return [...this.received.matchAll(/HTTP\/1\.1 200 [^]*?\r\n\r\n([^:]+):/g)].map(match => match[1]!);
	}

	get statuses(): string[] {
		return [...this.received.matchAll(/HTTP\/1\.1 (\d+) /g)].map(match => match[1]!);
	}
}

function idsOf(prefix: string, count: number): string[] {
	return Array.from({ length: count }, (_, i) => `${prefix}-${i}`);
}

function executedIds(prefix: string): string[] {
	return targets
		.flatMap(({ executedRequests }) => executedRequests.map(({ id }) => id))
		.filter(id => id.startsWith(prefix));
}

before(async () => {
	await Promise.all(targets.map(target => target.listen()));
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	await Promise.all(targets.map(target => system.sendHeartbeat(target, 'reads')));
	for (const entry of system.entries) {
		await waitFor('requests are served', async () =>
			(await system.request(entry, 'GET', '/read/1')).status === 200 ? true : undefined
		);
	}
});

after(async () => {
	await system.stopAll();
	targets.forEach(target => target.crash());
});

test('pipelined requests run side by side and are answered in order', async () => {
	const entry = system.entries[0]!;
	const ids = idsOf('order-of', 10);
	const caller = new PipeliningCaller(entry).startReading();
	const startedAt = performance.now();
	caller.send('GET', '/read/1', ids);
	await waitFor('all responses', async () => (caller.answeredIds.length === ids.length ? true : undefined));
	const tookMs = performance.now() - startedAt;
	assert.deepEqual(caller.answeredIds, ids);
	assert.ok(tookMs < 4 * WORK_MS, `${tookMs} ms`);
	caller.socket.destroy();
});

test('a request that may run only once runs once, after the responses before it', async () => {
	const entry = system.entries[0]!;
	const caller = new PipeliningCaller(entry).startReading();
	caller
		.send('GET', '/read/1', ['once-0'])
		.send('GET', '/order/1', ['once-1', 'once-2'])
		.send('GET', '/read/1', ['once-3']);
	await waitFor('all responses', async () => (caller.statuses.length === 4 ? true : undefined));
	assert.deepEqual(caller.answeredIds, idsOf('once', 4));
	assert.deepEqual(executedIds('once'), idsOf('once', 4));
	caller.socket.destroy();
});

test('a caller that leaves cancels all its requests', async () => {
	const entry = system.entries[0]!;
	const caller = new PipeliningCaller(entry).startReading();
	const ids = idsOf('left', 6);
	caller.send('GET', '/read/1', ids);
	await waitFor('all run', async () => (executedIds('left').length === ids.length ? true : undefined));
	caller.socket.destroy();
	await waitFor(
		'all are cancelled',
		async () => {
			const requests = targets.flatMap(target => target.executedRequests).filter(({ id }) => id.startsWith('left'));
			return requests.every(({ closedEarly }) => closedEarly) ? true : undefined;
		},
		500
	);
});

test('a graceful stop answers each pipelined request that was sent to a target', async () => {
	const entry = system.entries[1]!;
	const callers = Array.from({ length: 12 }, (_, i) =>
		new PipeliningCaller(entry).startReading().send('GET', '/read/1', idsOf(`stop-${i}`, 6))
	);
	await waitFor('requests run', async () => (executedIds('stop').length >= 12 ? true : undefined));
	const exited = system.stop(entry, 'SIGTERM');
	await waitFor('all connections are closed', async () =>
		callers.every(({ isClosed }) => isClosed) ? true : undefined
	);
	const answered = callers.flatMap(({ answeredIds }) => answeredIds);
	assert.deepEqual(answered.sort(), executedIds('stop').sort());
	assert.equal(await exited, 0);
});
