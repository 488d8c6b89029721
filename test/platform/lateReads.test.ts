/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Requests that an entry instance reads late, since it did not run for a while or has less of a processor than its callers need. */

import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { after, before, test } from 'node:test';
import { PlatformTestSystem, createConfigDocument, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTE_TIMEOUT_MS = 1000;
const REMAINING_MS = 5000;
/** How long after its route's time-out a request may still be without a final answer. */
const MAX_OVERDUE_MS = 500;
/** Share of the requests without an answer at their time-out that may be overdue. */
const MAX_OVERDUE_SHARE = 0.25;
const STOPPED_REQUESTS = 30;
/** The instance gets a fourth of a processor. */
const SLICE_MS = 60;
const STOPPED_SLICE_MS = 45;
const CROWD_REQUESTS = 900;
const CROWD_INTERVAL_MS = 5;

const system = new PlatformTestSystem(3, 1);
const entry = system.entries[0]!;
const target = new TestTarget({
	id: 'i-1',
	host: system.targetHost(1),
	port: 8080,
	slots: 2000,
	workMs: 0,
	workMsOf: ({ path }) => (path === '/silent/ready' ? 0 : 60000),
	paddingBytes: 10
});

/** A request on a connection of its own. */
interface SentRequest {
	readonly id: string;
	readonly socket: Socket;
	/** When the status line of the answer or the end of the connection came, on the monotonic clock. */
	readonly endedAt: Promise<number>;
	/** When the connection was up and the request left, on the monotonic clock. */
	readonly sentAt: Promise<number>;
}

function send(id: string, method: string): SentRequest {
	const { hostname, port } = new URL(system.callerUrl(entry));
	const socket = connect(Number(port), hostname);
	socket.on('error', () => undefined);
	const sentAt = new Promise<number>(resolve => {
		const leave = (): void => resolve(performance.now());
		socket.once('connect', leave);
		socket.once('close', leave);
	});
	const endedAt = new Promise<number>(resolve => {
		const end = (): void => resolve(performance.now());
		socket.once('data', end);
		socket.once('close', end);
	});
	const head = [`${method} /silent/${id} HTTP/1.1`, 'Host: shop.example', `Request-Id: ${id}`];
	socket.write(`${[...head, `Deadline-Ms: ${REMAINING_MS}`, 'Content-Length: 0'].join('\r\n')}\r\n\r\n`);
	return { id, socket, endedAt, sentAt };
}

/** Lets the instance run for a part of each slice until the returned function is called. */
function throttle(): () => void {
	const { child } = entry;
	const timer = setInterval(() => {
		child!.kill('SIGSTOP');
		setTimeout(() => child!.kill('SIGCONT'), STOPPED_SLICE_MS);
	}, SLICE_MS);
	return () => {
		clearInterval(timer);
		setTimeout(() => child!.kill('SIGCONT'), STOPPED_SLICE_MS);
	};
}

/** Counts the requests that had no answer at their time-out and are overdue. */
async function countOverdue(requests: readonly SentRequest[]): Promise<{ timedOut: number; overdue: number }> {
	const tookMs = await Promise.all(requests.map(async ({ sentAt, endedAt }) => (await endedAt) - (await sentAt)));
	const timedOut = tookMs.filter(ms => ms > ROUTE_TIMEOUT_MS).length;
	return { timedOut, overdue: tookMs.filter(ms => ms > ROUTE_TIMEOUT_MS + MAX_OVERDUE_MS).length };
}

before(async () => {
	await target.listen();
	system.startAll();
	const routes = ['safe', 'unsafe'].map(
		kind =>
			({
				prefix: kind === 'safe' ? '/silent/' : '/silent/unsafe/',
				kind: kind as 'safe' | 'unsafe',
				service: 'orders',
				timeout: `${ROUTE_TIMEOUT_MS}ms`
			}) as const
	);
	await system.publish(createConfigDocument(1, routes), 0);
	await system.sendHeartbeat(target, 'orders');
	await waitFor('requests are served', async () =>
		(await system.request(entry, 'GET', '/silent/ready')).status === 200 ? true : undefined
	);
});

after(async () => {
	entry.child?.kill('SIGCONT');
	await system.stopAll();
	target.crash();
});

/** Guards against time that counts only from when a request is read. */
test('requests that waited in a stopped instance beyond their time-out are answered when it goes on', async context => {
	entry.child!.kill('SIGSTOP');
	const requests = Array.from({ length: STOPPED_REQUESTS }, (_, i) => send(`stopped-${i}`, i % 2 ? 'GET' : 'POST'));
	await delay(ROUTE_TIMEOUT_MS + 200);
	entry.child!.kill('SIGCONT');
	const { overdue } = await countOverdue(requests);
	context.diagnostic(`${overdue} of ${STOPPED_REQUESTS} requests without an answer half a second after their time-out`);
	requests.forEach(({ socket }) => socket.destroy());
	assert.equal(overdue, 0);
});

/** Guards against requests that are passed on although the end of their connection arrived with them. */
test('requests of callers that left while the instance was stopped reach no target', async () => {
	entry.child!.kill('SIGSTOP');
	const requests = Array.from({ length: STOPPED_REQUESTS }, (_, i) => send(`left-${i}`, i % 2 ? 'GET' : 'POST'));
	await delay(200);
	requests.forEach(({ socket }) => socket.end());
	await delay(600);
	entry.child!.kill('SIGCONT');
	await delay(500);
	requests.forEach(({ socket }) => socket.destroy());
	const received = target.executedRequests.map(({ id }) => id).filter(id => id.startsWith('left-'));
	assert.deepEqual(received, []);
});

/** Guards against an instance that holds nearly all requests beyond their time-out once it has more than it can read. */
test('an instance with too little processor answers within the time-out of the route', async context => {
	const stopThrottling = throttle();
	const requests: SentRequest[] = [];
	for (let i = 0; i < CROWD_REQUESTS; i++) {
		requests.push(send(`crowd-${i}`, 'GET'));
		await delay(CROWD_INTERVAL_MS);
	}
	const { timedOut, overdue } = await countOverdue(requests);
	stopThrottling();
	context.diagnostic(`${overdue} overdue of ${timedOut} requests without an answer at their time-out`);
	requests.forEach(({ socket }) => socket.destroy());
	assert.ok(overdue <= timedOut * MAX_OVERDUE_SHARE, `${overdue} of ${timedOut} are overdue`);
});
