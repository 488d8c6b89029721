/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * A target accepts a maximum number of connections from all entry instances together, set by operators. Guards against instances that open
 * one connection for each request in flight.
 */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { PlatformTestSystem, createConfigDocument, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [
	{ prefix: '/read/', kind: 'safe', service: 'reads' },
	{ prefix: '/large/', kind: 'download', service: 'reads' }
] as const;
const MAX_CONNECTIONS = 12;
const REQUEST_COUNT = 60;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

const system = new PlatformTestSystem(3, 3);
const target = new TestTarget({
	id: 'i-1',
	host: system.targetHost(1),
	port: 8080,
	slots: 60,
	workMs: 300,
	paddingBytes: 200000
});

async function sendRequests(path: string): Promise<number[]> {
	const responses = Array.from({ length: REQUEST_COUNT }, (_, i) =>
		system.request(system.entries[i % system.entries.length]!, 'GET', path)
	);
	return (await Promise.all(responses)).map(({ status }) => status);
}

before(async () => {
	await target.listen();
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES, undefined, MAX_CONNECTIONS), 0);
	await system.sendHeartbeat(target, 'reads');
	for (const entry of system.entries) {
		await waitFor('requests are served', async () =>
			(await system.request(entry, 'GET', '/read/1')).status === STATUS_OK ? true : undefined
		);
	}
});

after(async () => {
	await system.stopAll();
	target.crash();
});

for (const path of ['/read/1', '/large/1']) {
	test(`${path}: all instances together open no more connections to a target than its maximum`, async () => {
		const statuses = await sendRequests(path);
		assert.ok(target.peakConnections <= MAX_CONNECTIONS, `${target.peakConnections} connections at the same time`);
		const served = statuses.filter(status => status === STATUS_OK).length;
		assert.ok(served >= MAX_CONNECTIONS / 2, `${served} served`);
		assert.ok(statuses.every(status => status === STATUS_OK || status === STATUS_UNAVAILABLE));
	});
}
