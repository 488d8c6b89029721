/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** When an instance counts as partitioned from all targets, and which lost runs it then does not blame on them. */

import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { systemClock } from '../../../base/clock.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import { MetricsService } from '../../../kernel/node/metricsService.js';
import type { TargetRecord } from '../../fleet/common/fleetTypes.js';
import type { FleetView, KnownTarget } from '../../fleet/common/fleetView.js';
import { NotRunCause } from '../common/attempt.js';
import { PartitionMonitor } from '../node/partitionMonitor.js';

const TARGETS = ['a', 'b', 'c', 'd'];
const TIMEOUT_MS = 3000;
const POLL_MS = 5;
const TARGET_A = { id: 'a' } as unknown as TargetRecord;
const silentLog = { info: () => undefined, warn: () => undefined } as unknown as ILogService;

const sockets = new Set<Socket>();
let servers: Server[];
let addresses: string[];
let monitor: PartitionMonitor;
/** Ids of targets that control knows to have stopped, and of those that have answered since. */
let stopped: Set<string>;
let answered: Set<string>;

const RESPONSE = 'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n';

/** A target that responds to everything, or accepts connections and stays silent. */
async function openServer(port = 0, isSilent = false): Promise<Server> {
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => (isSilent ? undefined : socket.end(RESPONSE)));
	});
	await new Promise<void>(resolve => server.listen(port, '127.0.0.1', () => resolve()));
	return server;
}

async function closeAll(): Promise<void> {
	sockets.forEach(socket => socket.destroy());
	sockets.clear();
	await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
}

function failAttempts(targets: readonly string[]): void {
	for (const id of targets) {
		const outcome = { type: 'not-run', hasArrived: false, cause: NotRunCause.NoConnection } as const;
		monitor.recordOutcome(monitor.recordStart(id), outcome, false);
	}
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
	stopped = new Set();
	answered = new Set();
	const view = {
		servingTargets,
		hasStopped: ({ id }: TargetRecord) => stopped.has(id),
		answeredAt: (id: string) => (answered.has(id) ? Number.POSITIVE_INFINITY : undefined)
	};
	monitor = new PartitionMonitor(view as unknown as FleetView, silentLog, new MetricsService());
});

afterEach(async () => {
	monitor.dispose();
	await closeAll();
});

test('an instance that cannot connect to any target is partitioned until one responds', async () => {
	const changes: boolean[] = [];
	monitor.onDidChange(isPartitioned => changes.push(isPartitioned));
	await closeAll();
	failAttempts(['a', 'b', 'c']);
	await waitUntil('it is partitioned', () => monitor.isPartitioned);
	servers = [await openServer(Number(addresses[0]!.split(':')[1]))];
	await waitUntil('it is not any more', () => !monitor.isPartitioned);
	assert.deepEqual(changes, [true, false]);
});

/** Guards against connections that are established but carry nothing. */
test('an instance whose connections to targets are accepted and stay silent is partitioned until one responds', async () => {
	const ports = addresses.map(address => Number(address.split(':')[1]));
	await closeAll();
	servers = await Promise.all(ports.map(port => openServer(port, true)));
	TARGETS.forEach(id => monitor.recordStart(id));
	await waitUntil('it is partitioned', () => monitor.isPartitioned);
	await delay(1500);
	assert.equal(monitor.isPartitioned, true);
	await closeAll();
	servers = [await openServer(ports[0])];
	await waitUntil('it is not any more', () => !monitor.isPartitioned);
});

test('it is not while another target responds, however many fail', async () => {
	await Promise.all(servers.slice(0, 3).map(server => new Promise(resolve => server.close(resolve))));
	failAttempts(['a', 'b', 'c', 'a', 'b', 'c']);
	await delay(300);
	assert.equal(monitor.isPartitioned, false);
});

test('a run that its target took along is confirmed at once', async () => {
	const lostAt = systemClock.now();
	failAttempts(['a']);
	assert.equal(await monitor.confirmsLoss(TARGET_A, lostAt), true);
	assert.ok(systemClock.now() - lostAt < 200);
});

/** Guards against quarantine of requests whose runs broke because the links of the instance failed. */
test('runs that break off as the instance is partitioned are not confirmed', async () => {
	await closeAll();
	const lostAt = systemClock.now();
	const confirmed = monitor.confirmsLoss(TARGET_A, lostAt);
	failAttempts(['a', 'b', 'c']);
	await waitUntil('it is partitioned', () => monitor.isPartitioned);
	answered.add('a');
	assert.equal(await confirmed, false);
});

/** Guards against a request that ends all targets at once and passes for failed links, so that it is never quarantined. */
test('runs that break off while no target can be reached are confirmed once their target is known to have stopped', async () => {
	await closeAll();
	const confirmed = monitor.confirmsLoss(TARGET_A, systemClock.now());
	failAttempts(['a', 'b', 'c']);
	await waitUntil('it is partitioned', () => monitor.isPartitioned);
	stopped.add('a');
	assert.equal(await confirmed, true);
});

test('runs of several targets that stop together are confirmed once another target responds', async () => {
	const lostAt = systemClock.now();
	failAttempts(['a', 'b']);
	const confirmed = monitor.confirmsLoss(TARGET_A, lostAt);
	await delay(250);
	monitor.recordResponse(monitor.recordStart('d'));
	assert.equal(await confirmed, true);
});
