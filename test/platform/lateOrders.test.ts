/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Orders that a control instance reads long after their caller has given them up. */

import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createConfigDocument, type Instance, PlatformTestSystem, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/read/', kind: 'safe', service: 'reads' }] as const;
/** The hall of all targets. */
const PATH = '/api/evacuate/hall-1';
const CONTROL_PORT = 8146;
const HEARTBEAT_INTERVAL_MS = 1500;
const PATIENCE_MS = 1000;
/** Within which an order that was read is in force and its targets are no longer cold. */
const SETTLE_MS = 5000;

const system = new PlatformTestSystem(3, 1);
const [entry] = system.entries as [Instance];
const target = new TestTarget({
	id: 'i-1',
	host: system.targetHost(1),
	port: 8080,
	slots: 4,
	workMs: 5,
	paddingBytes: 20
});
let heartbeats: NodeJS.Timeout;

async function isServed(): Promise<boolean> {
	return (await system.request(entry, 'GET', '/read/1')).status === 200;
}

/** Gives an order at the first instance that takes it. */
function order(method: string, instances: readonly Instance[]): Promise<unknown> {
	return waitFor(`${method} is acknowledged`, async () => {
		for (const instance of instances) {
			const response = await system.callControl(instance, method, PATH, undefined, undefined, PATIENCE_MS);
			if (response.status === 200) {
				return true;
			}
		}
		return undefined;
	});
}

async function waitUntilServed(): Promise<void> {
	await waitFor('requests are served', async () => ((await isServed()) ? true : undefined));
}

before(async () => {
	await target.listen();
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	const beat = (): Promise<unknown> => system.sendHeartbeat(target, 'reads');
	await beat();
	heartbeats = setInterval(() => void beat().catch(() => undefined), HEARTBEAT_INTERVAL_MS);
	await waitUntilServed();
});

after(async () => {
	clearInterval(heartbeats);
	await system.stopAll();
	target.crash();
});

/** Guards against an order that lay in a stopped instance and undoes a later one. */
test('an order whose caller gave up while the control instance was stopped is not carried out', async () => {
	// The first instance gets the heartbeats.
	for (const stopped of system.controls.slice(1)) {
		const others = system.controls.filter(control => control !== stopped);
		await order('POST', system.controls);
		stopped.child!.kill('SIGSTOP');
		await assert.rejects(system.callControl(stopped, 'DELETE', PATH, undefined, undefined, PATIENCE_MS));
		await order('DELETE', others);
		await order('POST', others);
		stopped.child!.kill('SIGCONT');
		await delay(SETTLE_MS);
		assert.equal(await isServed(), false, `after ${stopped.ip} was stopped`);
		await order('DELETE', system.controls);
		await waitUntilServed();
	}
});

/** Guards against an order that a partition held up together with the end of its connection. */
test('an order that arrives together with the end of its connection is not carried out', async () => {
	for (const { ip } of system.controls) {
		const socket = connect(CONTROL_PORT, ip);
		socket.on('error', () => undefined);
		socket.end(`POST ${PATH} HTTP/1.1\r\nHost: ${ip}\r\nContent-Length: 0\r\n\r\n`);
	}
	await delay(SETTLE_MS);
	assert.equal(await isServed(), true);
});
