/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Retries of all entry instances together, while targets reject requests although they have room and others are unreachable. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createConfigDocument, PlatformTestSystem, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/read/', kind: 'safe', service: 'reads', attempts: 3 }] as const;
const ENTRIES = 4;
const TARGETS = 28;
/** Targets that go on running. */
const LASTING_TARGETS = 4;
/** Load report of a target that has room. */
const LOAD_WITH_ROOM = { 'Server-Load': '0,0,50' };
/** After which no target is cold any more. */
const WARM_UP_MS = 4000;
const SEND_INTERVAL_MS = 25;
const CRASH_INTERVAL_MS = 300;
/** Below the window of the limit, so that all requests are in one window. */
const LOAD_MS = 8000;
const RETRY_RATIO = 0.2;
const RETRY_SLACK = 58;

const system = new PlatformTestSystem(3, ENTRIES);
const targets = Array.from(
	{ length: TARGETS },
	(_unused, i) =>
		new TestTarget({
			id: `i-${i}`,
			host: system.targetHost(i + 1),
			port: 8080,
			slots: 50,
			workMs: 5,
			paddingBytes: 20
		})
);

/** Sends requests to all instances at a constant interval; returns their number. */
async function sendLoad(): Promise<number> {
	const pending: Promise<unknown>[] = [];
	const endTime = performance.now() + LOAD_MS;
	while (performance.now() < endTime) {
		pending.push(...system.entries.map(entry => system.request(entry, 'GET', '/read/1')));
		await delay(SEND_INTERVAL_MS);
	}
	await Promise.all(pending);
	return pending.length;
}

/** Crashes targets one after the other. */
async function crashTargets(): Promise<void> {
	for (const target of targets.slice(LASTING_TARGETS)) {
		target.crash();
		await delay(CRASH_INTERVAL_MS);
	}
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
	await delay(WARM_UP_MS);
});

after(async () => {
	await system.stopAll();
	targets.slice(0, LASTING_TARGETS).forEach(target => target.crash());
});

/** Guards against attempts that no retry budget pays for, when a request that targets rejected goes on to another instance. */
test('requests that targets reject and that found no connection arrive no more often than the retry limit allows', async () => {
	targets.forEach(target => (target.rejectionHeaders = LOAD_WITH_ROOM));
	const [requests] = await Promise.all([sendLoad(), crashTargets()]);
	const ids = targets.flatMap(target => target.rejectedRequests.map(({ id }) => id));
	const retries = ids.length - new Set(ids).size;
	const allowed = RETRY_RATIO * requests + RETRY_SLACK;
	assert.ok(retries <= allowed, `${retries} arrivals beyond the first of ${requests} requests, ${allowed} allowed`);
});
