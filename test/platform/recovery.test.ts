/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Control instances that discovered their members from seeds keep acknowledged state over restarts, lost disks and replaced instances. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { PlatformTestSystem, createConfigDocument, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/read/', kind: 'safe', service: 'reads' }] as const;
const system = new PlatformTestSystem(4, 2);
const target = new TestTarget({
	id: 'i-1',
	host: system.targetHost(1),
	port: 8080,
	slots: 4,
	workMs: 5,
	paddingBytes: 20
});

async function versionAt(index: number): Promise<number | undefined> {
	const response = await system.callControl(system.controls[index]!, 'GET', '/api/config');
	return response.status === 200 ? (JSON.parse(response.body) as { version: number }).version : undefined;
}

async function isServed(): Promise<true | undefined> {
	for (const entry of system.entries) {
		const response = await system.request(entry, 'GET', '/read/1');
		if (response.status !== 200) {
			return undefined;
		}
	}
	return true;
}

before(async () => {
	await target.listen();
	system.startAll();
	await system.publish(createConfigDocument(3, ROUTES), 0);
	await system.sendHeartbeat(target, 'reads');
	await waitFor('requests are served', isServed);
});

after(async () => {
	await system.stopAll();
	target.crash();
});

test('acknowledged state survives a restart of all killed processes', async () => {
	const all = [...system.controls, ...system.entries];
	await Promise.all(all.map(instance => system.stop(instance, 'SIGKILL')));
	all.forEach(instance => system.start(instance, false));
	assert.equal(await waitFor('the table version is read', () => versionAt(0)), 3);
	await waitFor('requests are served', isServed);
});

test('an instance that lost its disk and a replacement at another address become members', async () => {
	await system.stop(system.controls[1]!, 'SIGKILL');
	system.deleteData(system.controls[1]!);
	system.start(system.controls[1]!, false);
	assert.equal(await waitFor('the table version is read from the instance that lost its disk', () => versionAt(1)), 3);
	await system.stop(system.controls[3]!, 'SIGKILL');
	const replacement = system.addControl(system.controls[3]!.hall);
	system.start(replacement, false);
	assert.equal(
		await waitFor('the table version is read from the replacement', () =>
			versionAt(system.controls.indexOf(replacement))
		),
		3
	);
	await system.publish(createConfigDocument(5, ROUTES), 3);
	assert.equal(await waitFor('the new table version is read', () => versionAt(0)), 5);
});
