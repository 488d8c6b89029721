/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** When an instance counts as partitioned from all targets, and which lost runs it then does not blame on them. */

import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { systemClock } from '../../../base/clock.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import { MetricsService } from '../../../kernel/node/metricsService.js';
import type { FleetView, KnownTarget } from '../../fleet/common/fleetView.js';
import { NotRunCause } from '../common/attempt.js';
import { PartitionMonitor } from '../node/partitionMonitor.js';

const TARGETS = ['a', 'b', 'c', 'd'];
const TIMEOUT_MS = 3000;
const POLL_MS = 5;
const silentLog = { info: () => undefined, warn: () => undefined } as unknown as ILogService;

let servers: Server[];
let addresses: string[];
let monitor: PartitionMonitor;

async function openServer(port = 0): Promise<Server> {
	const server = createServer(socket => socket.destroy());
	await new Promise<void>(resolve => server.listen(port, '127.0.0.1', () => resolve()));
	return server;
}

async function closeAll(): Promise<void> {
	await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
}

function failAttempts(targets: readonly string[]): void {
	for (const id of targets) {
		const outcome = { type: 'not-run', hasArrived: false, cause: NotRunCause.NoConnection } as const;
		monitor.recordOutcome(monitor.recordStart(id), outcome, false);
	}
}

function delay(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms));
}

async function waitUntil(what: string, condition: () => boolean): Promise<void> {
	const deadline = performance.now() + TIMEOUT_MS;
	while (!condition()) {
		assert.ok(performance.now() < deadline, what);
		await delay(POLL_MS);
	}
}

beforeEach(async () => {
	servers = await Promise.all(TARGETS.map(() => openServer()));
	addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
	const servingTargets = TARGETS.map((id, i) => ({
		record: { id, address: addresses[i], hall: id },
		isSilent: false
	})) as unknown as KnownTarget[];
	monitor = new PartitionMonitor({ servingTargets } as unknown as FleetView, silentLog, new MetricsService());
});

afterEach(async () => {
	monitor.dispose();
	await closeAll();
});

test('an instance that cannot connect to any target is partitioned until one accepts a connection', async () => {
	const changes: boolean[] = [];
	monitor.onDidChange(isPartitioned => changes.push(isPartitioned));
	await closeAll();
	failAttempts(['a', 'b', 'c']);
	await waitUntil('it is partitioned', () => monitor.isPartitioned);
	servers = [await openServer(Number(addresses[0]!.split(':')[1]))];
	await waitUntil('it is not any more', () => !monitor.isPartitioned);
	assert.deepEqual(changes, [true, false]);
});

test('it is not while another target accepts connections, however many fail', async () => {
	await Promise.all(servers.slice(0, 3).map(server => new Promise(resolve => server.close(resolve))));
	failAttempts(['a', 'b', 'c', 'a', 'b', 'c']);
	await delay(300);
	assert.equal(monitor.isPartitioned, false);
});

test('a run that its target took along is confirmed at once', async () => {
	const lostAt = systemClock.now();
	failAttempts(['a']);
	assert.equal(await monitor.confirmsLoss(lostAt), true);
	assert.ok(systemClock.now() - lostAt < 200);
});

/** Guards against quarantine of requests whose runs broke because the links of the instance failed. */
test('runs that break off as the instance is partitioned are not confirmed', async () => {
	await closeAll();
	const lostAt = systemClock.now();
	const confirmed = monitor.confirmsLoss(lostAt);
	failAttempts(['a', 'b', 'c']);
	assert.equal(await confirmed, false);
	assert.equal(await monitor.confirmsLoss(systemClock.now()), false);
});

test('runs of several targets that stop together are confirmed once another target responds', async () => {
	const lostAt = systemClock.now();
	failAttempts(['a', 'b']);
	const confirmed = monitor.confirmsLoss(lostAt);
	await delay(250);
	monitor.recordResponse(monitor.recordStart('d'));
	assert.equal(await confirmed, true);
});
