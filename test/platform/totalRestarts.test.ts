/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Requests to warm and to cold targets after all control and entry instances have restarted at the same moment. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createConfigDocument, type Instance, PlatformTestSystem, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/read/', kind: 'safe', service: 'reads' }] as const;
/** Requests that a cold target may get in a second: its rate of 14, half of that again, and the slack. */
const MAX_COLD_REQUESTS = 26;
const WINDOW_MS = 1000;
const COLD_MS = 20000;
const HEARTBEAT_INTERVAL_MS = 1500;
const SEND_INTERVAL_MS = 50;
const LOAD_MS = 2 * HEARTBEAT_INTERVAL_MS;
/** Fraction of the requests to warm targets that may fail once an instance has answered the first one. */
const MAX_FAILED_FRACTION = 0.01;

const system = new PlatformTestSystem(3, 9);
const target = new TestTarget({
	id: 'i-1',
	host: system.targetHost(1),
	port: 8080,
	slots: 50,
	workMs: 5,
	paddingBytes: 20
});

async function isServed(entry: Instance): Promise<boolean> {
	const response = await system.request(entry, 'GET', '/read/1').catch(() => undefined);
	return response?.status === 200;
}

async function restartAll(): Promise<void> {
	const all = [...system.controls, ...system.entries];
	await Promise.all(all.map(instance => system.stop(instance, 'SIGKILL')));
	all.forEach(instance => system.start(instance, false));
}

/** Sends requests to an instance at a fixed rate; resolves to the number of them that were not served. */
async function sendLoad(entry: Instance): Promise<{ sent: number; failed: number }> {
	const responses: Promise<boolean>[] = [];
	const endTime = performance.now() + LOAD_MS;
	while (performance.now() < endTime) {
		responses.push(isServed(entry));
		await delay(SEND_INTERVAL_MS);
	}
	const served = await Promise.all(responses);
	return { sent: served.length, failed: served.filter(isOk => !isOk).length };
}

/** The most requests that arrived in a window. */
function peakArrivals(times: readonly number[]): number {
	return Math.max(0, ...times.map((from, i) => times.slice(i).filter(at => at < from + WINDOW_MS).length));
}

before(async () => {
	await target.listen();
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	await system.sendHeartbeat(target, 'reads', 'ready', '0ms');
	for (const entry of system.entries) {
		await waitFor('requests are served', async () => ((await isServed(entry)) ? true : undefined));
	}
});

after(async () => {
	await system.stopAll();
	target.crash();
});

test('warm targets serve nearly all requests after all instances have restarted', async t => {
	await restartAll();
	const loads = await Promise.all(
		system.entries.map(async entry => {
			await waitFor('requests are served', async () => ((await isServed(entry)) ? true : undefined));
			return sendLoad(entry);
		})
	);
	const sent = loads.reduce((sum, load) => sum + load.sent, 0);
	const failed = loads.reduce((sum, load) => sum + load.failed, 0);
	t.diagnostic(`${failed} of ${sent} requests failed`);
	assert.ok(failed <= MAX_FAILED_FRACTION * sent, `${failed} of ${sent} requests failed`);
});

test('a cold target gets no more than its rate from nine entry instances that restarted together with all control instances', async t => {
	const coldUntil = performance.now() + COLD_MS;
	const sendHeartbeat = async (): Promise<void> => {
		const leftMs = Math.max(0, Math.round(coldUntil - performance.now()));
		await system.sendHeartbeat(target, 'reads', 'ready', `${leftMs}ms`);
	};
	await sendHeartbeat();
	await restartAll();
	target.arrivalTimes.length = 0;
	const load = Promise.all(system.entries.map(entry => sendLoad(entry)));
	await delay(HEARTBEAT_INTERVAL_MS);
	await sendHeartbeat();
	await load;
	const peak = peakArrivals(target.arrivalTimes);
	t.diagnostic(`${peak} requests in ${WINDOW_MS} ms at most, ${target.arrivalTimes.length} in all`);
	assert.ok(peak <= MAX_COLD_REQUESTS, `${peak} requests in ${WINDOW_MS} ms`);
});
