/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Entry instances that are partitioned from all targets, while callers, control and the other instances reach them. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createConfigDocument, type Instance, PlatformTestSystem, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [
	{ prefix: '/read/', kind: 'safe', service: 'reads', attempts: 2 },
	{ prefix: '/order/', kind: 'unsafe', service: 'reads', attempts: 2 }
] as const;
const TARGETS = 4;
const WORK_MS = 250;
/** Every third request is an order. */
const ORDER_EVERY = 3;
/** Requests for the same object are alike but for their ids. */
const OBJECTS = 4;
const SEND_INTERVAL_MS = 40;
const REMAINING_MS = 2000;
const HEARTBEAT_INTERVAL_MS = 1500;
/** Within which an instance has found out. */
const DETECTION_MS = 2500;
const MEASURED_MS = 2500;
const RECOVERY_MS = 2000;
/** Fraction of the requests that is served; what runs when the links fail may be lost. */
const MIN_SERVED = 0.98;
/** Within which a request is answered that nobody can serve. */
const AT_ONCE_MS = 400;

interface Result {
	readonly id: string;
	readonly status: number;
	readonly tookMs: number;
	readonly reason: string;
}

const system = new PlatformTestSystem(3, 4, '', [], 'test/fakes/partitionPreload.js');
const targets = Array.from(
	{ length: TARGETS },
	(_unused, i) =>
		new TestTarget({
			id: `i-${i}`,
			host: system.targetHost(i + 1),
			port: 8080,
			slots: 50,
			workMs: WORK_MS,
			paddingBytes: 20
		})
);
let heartbeats: NodeJS.Timeout;
let sequence = 0;
const results: Result[] = [];

async function sendOne(entry: Instance): Promise<Result> {
	const id = `q-${++sequence}`;
	const isOrder = sequence % ORDER_EVERY === 0;
	const sentAt = performance.now();
	const object = sequence % OBJECTS;
	const options = { id, remainingMs: REMAINING_MS, body: isOrder ? `object ${object}` : undefined };
	const response = await system
		.request(entry, isOrder ? 'POST' : 'GET', isOrder ? `/order/${object}` : `/read/${object}`, options)
		.catch(() => undefined);
	const status = response?.status ?? 0;
	const reason = status === 200 ? '' : ((JSON.parse(response?.body || '{}') as { reason?: string }).reason ?? '');
	const result = { id, status, tookMs: performance.now() - sentAt, reason };
	results.push(result);
	return result;
}

/** Sends requests to instances at a fixed rate for some time. */
async function sendLoad(entries: readonly Instance[], durationMs: number): Promise<Result[]> {
	const pending: Promise<Result>[] = [];
	const endTime = performance.now() + durationMs;
	while (performance.now() < endTime) {
		entries.forEach(entry => pending.push(sendOne(entry)));
		await delay(SEND_INTERVAL_MS);
	}
	return Promise.all(pending);
}

function servedFraction(of: readonly Result[]): number {
	return of.filter(({ status }) => status === 200).length / of.length;
}

/** What callers of the partitioned instances and of the others got, once detected and after the end of the partition. */
async function playPartition(count: number, fault: 'reset' | 'silent') {
	const partitioned = system.entries.slice(0, count);
	const others = system.entries.slice(count);
	partitioned.forEach(entry => system.setPartition(entry, fault));
	await sendLoad(system.entries, DETECTION_MS);
	const [there, elsewhere] = await Promise.all([
		sendLoad(partitioned, MEASURED_MS),
		others.length > 0 ? sendLoad(others, MEASURED_MS) : []
	]);
	partitioned.forEach(entry => system.setPartition(entry, undefined));
	await delay(RECOVERY_MS);
	return { there, elsewhere, afterwards: await sendLoad(system.entries, MEASURED_MS) };
}

before(async () => {
	await Promise.all(targets.map(target => target.listen()));
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	const beat = (): Promise<unknown> => Promise.all(targets.map(target => system.sendHeartbeat(target, 'reads')));
	await beat();
	heartbeats = setInterval(() => void beat().catch(() => undefined), HEARTBEAT_INTERVAL_MS);
	for (const entry of system.entries) {
		await waitFor('requests are served', async () => ((await sendOne(entry)).status === 200 ? true : undefined));
	}
	await sendLoad(system.entries, MEASURED_MS);
	results.length = 0;
});

after(async () => {
	clearInterval(heartbeats);
	await system.stopAll();
	targets.forEach(target => target.crash());
});

for (const [count, fault] of [
	[1, 'reset'],
	[2, 'silent'],
	[3, 'reset']
] as const) {
	const title = `callers of ${count} of 4 instances are served although their links to all targets are ${fault}`;
	test(title, async () => {
		const { there, elsewhere, afterwards } = await playPartition(count, fault);
		assert.ok(servedFraction(there) >= MIN_SERVED, `at the partitioned ones: ${servedFraction(there)}`);
		assert.ok(servedFraction(elsewhere) >= MIN_SERVED, `at the others: ${servedFraction(elsewhere)}`);
		assert.ok(servedFraction(afterwards) >= MIN_SERVED, `afterwards: ${servedFraction(afterwards)}`);
	});
}

test('requests that no instance can serve are rejected at once', async () => {
	const { there, afterwards } = await playPartition(4, 'silent');
	const late = there.filter(({ tookMs }) => tookMs > AT_ONCE_MS);
	assert.ok(late.length <= there.length * (1 - MIN_SERVED), `${late.length} of ${there.length} held longer`);
	assert.ok(servedFraction(afterwards) >= MIN_SERVED, `afterwards: ${servedFraction(afterwards)}`);
});

/** Guards against quarantine of requests whose runs broke because the links of an instance failed. */
test('no request is quarantined because links of instances have failed', () => {
	assert.deepEqual(
		results.filter(({ reason }) => reason === 'quarantined'),
		[]
	);
});

test('no order runs twice, and none that was rejected runs', () => {
	const runs = targets.flatMap(target => target.executedRequests.map(({ id }) => id));
	const counts = new Map<string, number>();
	runs.forEach(id => counts.set(id, (counts.get(id) ?? 0) + 1));
	const orders = results.filter(({ id }) => Number(id.slice(2)) % ORDER_EVERY === 0);
	assert.deepEqual(
		orders.filter(({ id, status }) => (counts.get(id) ?? 0) > 1 || ([503, 429].includes(status) && counts.has(id))),
		[]
	);
});
