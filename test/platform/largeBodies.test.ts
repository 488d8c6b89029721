/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Bodies of more than 64 KB are streamed and not buffered. An entry instance must not read a body from the caller before a target reads it,
 * or the next target gets an incomplete body where no connection to the first one comes up.
 */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { PlatformTestSystem, createConfigDocument, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/order/', kind: 'unsafe', service: 'orders' }] as const;
const BODY_BYTES = 500000;
const REQUEST_COUNT = 16;
const COLD_START_MS = 3000;
/** Time within which an entry instance learns of a new target. */
const DISCOVERY_MS = 1500;
const system = new PlatformTestSystem(3, 1);
const [entry] = system.entries as [(typeof system.entries)[0]];
const [listening, notListening] = [1, 2].map(
	index =>
		new TestTarget({
			id: `i-${index}`,
			host: system.targetHost(index),
			port: 8080,
			slots: 40,
			workMs: 5,
			paddingBytes: 20
		})
) as [TestTarget, TestTarget];

before(async () => {
	await listening.listen();
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	await system.sendHeartbeat(listening, 'orders');
	await waitFor('requests are served', async () =>
		(await system.request(entry, 'POST', '/order/1', { body: 'x' })).status === 200 ? true : undefined
	);
});

after(async () => {
	await system.stopAll();
	listening.crash();
});

test('a large body reaches another target complete if no connection to the first one comes up', async () => {
	await system.sendHeartbeat(notListening, 'orders');
	// A new target gets few requests during its cold start.
	await new Promise(resolve => setTimeout(resolve, COLD_START_MS + DISCOVERY_MS));
	const body = 'y'.repeat(BODY_BYTES);
	const responses = Array.from({ length: REQUEST_COUNT }, (_, i) =>
		system.request(entry, 'POST', '/order/1', { id: `large-${i}`, body, headers: { Cookie: `Affinity-Key=${i}` } })
	);
	const statuses = (await Promise.all(responses)).map(({ status }) => status);
	const received = listening.executedRequests.filter(request => request.id.startsWith('large-'));
	assert.deepEqual(
		received.filter(request => request.body.length !== BODY_BYTES).map(request => request.body.length),
		[]
	);
	assert.deepEqual(
		statuses,
		Array.from(statuses, () => 200)
	);
});
