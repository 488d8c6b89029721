/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Calls between control instances that a partition delivers after they were given up, while the same leader leads. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { PeerLink } from '../fakes/peerLink.js';
import { createConfigDocument, type Instance, PlatformTestSystem, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/read/', kind: 'safe', service: 'reads' }] as const;
/** The hall of all targets. */
const PATH = '/api/evacuate/hall-1';
const HEARTBEAT_INTERVAL_MS = 1500;
const PATIENCE_MS = 1000;
/** Within which an order that was delivered is in force and its targets are no longer cold. */
const SETTLE_MS = 5000;

const system = new PlatformTestSystem(3, 1, '', [], 'test/fakes/peerLinkPreload.js');
const [entry] = system.entries as [Instance];
const links = system.controls.flatMap(from =>
	system.controls.filter(to => to !== from).map(to => new PeerLink(from.ip, to.ip))
);
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

function waitUntil(isExpected: boolean): Promise<unknown> {
	return waitFor(`requests are ${isExpected ? '' : 'not '}served`, async () =>
		(await isServed()) === isExpected ? true : undefined
	);
}

async function order(method: string, instance: Instance): Promise<number> {
	return (await system.callControl(instance, method, PATH, undefined, undefined, PATIENCE_MS)).status;
}

/** The instance that last became leader, by its own log. */
function findLeader(): Instance {
	const termOf = ({ output }: Instance): number =>
		Math.max(0, ...[...output.matchAll(/became leader.*?"term":(\d+)/g)].map(match => Number(match[1])));
	return system.controls.reduce((latest, control) => (termOf(control) > termOf(latest) ? control : latest));
}

before(async () => {
	await Promise.all([target.listen(), ...links.map(link => link.listen())]);
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	const beat = (): Promise<unknown> => system.sendHeartbeat(target, 'reads');
	await beat();
	heartbeats = setInterval(() => void beat().catch(() => undefined), HEARTBEAT_INTERVAL_MS);
	await waitUntil(true);
});

after(async () => {
	clearInterval(heartbeats);
	await system.stopAll();
	links.forEach(link => link.close());
	target.crash();
});

/** Guards against an order that a partition between control instances holds up, and that undoes a later one. */
for (const { late, reverse, isServedBefore } of [
	{ late: 'DELETE', reverse: 'POST', isServedBefore: false },
	{ late: 'POST', reverse: 'DELETE', isServedBefore: true }
]) {
	test(`a ${late} for a data hall that reaches the leader after its successors has no effect`, async () => {
		const leader = findLeader();
		for (const follower of system.controls.filter(control => control !== leader)) {
			const held = links.filter(({ from }) => from === follower.ip);
			assert.equal(await order(reverse, leader), 200);
			await waitUntil(isServedBefore);
			held.forEach(link => link.hold());
			assert.equal(await order(late, follower), 503);
			assert.equal(await order(late, leader), 200);
			assert.equal(await order(reverse, leader), 200);
			held.forEach(link => link.release());
			await delay(SETTLE_MS);
			assert.equal(findLeader(), leader);
			assert.equal(await isServed(), isServedBefore, `after the link of ${follower.ip} was held`);
		}
	});
}
