/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * An operator's table says how many connections a target accepts from all callers together, and the target resets those beyond. Nothing read
 * that number: three instances opened 60 connections to a target that accepts 12, one for each request under way.
 */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { DiscoveredSystem, routeDocument, until } from './discoveredSystem.js';
import { StandInTarget } from './standInTarget.js';

const ROUTES = [
	{ prefix: '/read/', kind: 'safe', service: 'reads' },
	{ prefix: '/large/', kind: 'download', service: 'reads' }
] as const;
const MAX_CONNECTIONS = 12;
const REQUESTS = 60;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

const system = new DiscoveredSystem(3, 3);
const target = new StandInTarget({
	id: 'i-1',
	host: system.targetHost(1),
	port: 8080,
	slots: 60,
	workMs: 300,
	answerBytes: 200000
});

async function askAll(path: string): Promise<number[]> {
	const answers = Array.from({ length: REQUESTS }, (_, i) =>
		system.request(system.entries[i % system.entries.length]!, 'GET', path)
	);
	return (await Promise.all(answers)).map(({ status }) => status);
}

before(async () => {
	await target.listen();
	system.startAll();
	await system.publish(routeDocument(1, ROUTES, undefined, MAX_CONNECTIONS), 0);
	await system.heartbeat(target, 'reads');
	for (const entry of system.entries) {
		await until('requests are served', async () =>
			(await system.request(entry, 'GET', '/read/1')).status === STATUS_OK ? true : undefined
		);
	}
});

after(async () => {
	await system.stopAll();
	target.crash();
});

for (const path of ['/read/1', '/large/1']) {
	test(`${path}: a target gets no more connections from all instances together than its operators allow`, async () => {
		const statuses = await askAll(path);
		assert.ok(target.mostConnections <= MAX_CONNECTIONS, `${target.mostConnections} connections at a time`);
		const served = statuses.filter(status => status === STATUS_OK).length;
		assert.ok(served >= MAX_CONNECTIONS / 2, `${served} served`);
		assert.ok(statuses.every(status => status === STATUS_OK || status === STATUS_UNAVAILABLE));
	});
}
