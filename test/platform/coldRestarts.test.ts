/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Guards against an entry instance that treats a cold target as warm, since it and all control instances have just restarted. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createConfigDocument, PlatformTestSystem, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/read/', kind: 'safe', service: 'reads' }] as const;
/** Requests that a cold target may get in a second: its rate of 14, half of that again, and the slack. */
const MAX_COLD_REQUESTS = 26;
const WINDOW_MS = 1000;
const COLD_MS = 20000;
const HEARTBEAT_INTERVAL_MS = 1500;
const SEND_INTERVAL_MS = 10;

const system = new PlatformTestSystem(3, 1);
const [entry] = system.entries as [(typeof system.entries)[0]];
const target = new TestTarget({
	id: 'i-1',
	host: system.targetHost(1),
	port: 8080,
	slots: 50,
	workMs: 5,
	paddingBytes: 20
});
let coldUntil = 0;

async function sendHeartbeat(): Promise<void> {
	const coldLeftMs = Math.max(0, Math.round(coldUntil - performance.now()));
	await system.sendHeartbeat(target, 'reads', 'ready', `${coldLeftMs}ms`);
}

async function waitUntilServed(): Promise<void> {
	await waitFor('requests are served', async () =>
		(await system.request(entry, 'GET', '/read/1')).status === 200 ? true : undefined
	);
}

/** The most requests that arrived in a window. */
function peakArrivals(times: readonly number[]): number {
	return Math.max(0, ...times.map((from, i) => times.slice(i).filter(at => at < from + WINDOW_MS).length));
}

before(async () => {
	await target.listen();
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	await sendHeartbeat();
	await waitUntilServed();
});

after(async () => {
	await system.stopAll();
	target.crash();
});

test('a cold target gets no more than its rate from an entry instance that restarted together with all control instances', async t => {
	coldUntil = performance.now() + COLD_MS;
	await sendHeartbeat();
	const all = [...system.controls, entry];
	await Promise.all(all.map(instance => system.stop(instance, 'SIGKILL')));
	all.forEach(instance => system.start(instance, false));
	await waitUntilServed();
	const nextHeartbeat = delay(HEARTBEAT_INTERVAL_MS).then(sendHeartbeat);
	target.arrivalTimes.length = 0;
	const endTime = performance.now() + 2 * HEARTBEAT_INTERVAL_MS;
	for (let i = 0; performance.now() < endTime; i++) {
		void system.request(entry, 'GET', `/read/${i}`).catch(() => undefined);
		await delay(SEND_INTERVAL_MS);
	}
	await nextHeartbeat;
	const peak = peakArrivals(target.arrivalTimes);
	t.diagnostic(`${peak} requests in ${WINDOW_MS} ms at most, ${target.arrivalTimes.length} in all`);
	assert.ok(peak <= MAX_COLD_REQUESTS, `${peak} requests in ${WINDOW_MS} ms`);
});
