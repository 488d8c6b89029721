/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Control instances whose disk takes no writes for some seconds. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createConfigDocument, type Instance, PlatformTestSystem, waitFor } from './platformTestSystem.js';

const ROUTES = [{ prefix: '/read/', kind: 'safe', service: 'reads' }] as const;
const FULL_MS = 3000;
/** Within which a change is acknowledged while one of three control instances cannot write. */
const CHANGE_TIMEOUT_MS = 4000;

const system = new PlatformTestSystem(3, 1, '', [], 'test/fakes/fullDiskPreload.js');
let version = 1;

async function versionAt(instance: Instance): Promise<number | undefined> {
	const response = await system.callControl(instance, 'GET', '/api/config');
	return response.status === 200 ? (JSON.parse(response.body) as { version: number }).version : undefined;
}

/** The instance whose process logged last that it became the leader. */
async function findLeader(): Promise<Instance | undefined> {
	const metricOf = (instance: Instance): Promise<Instance | undefined> => {
		const became = instance.output.lastIndexOf('became leader');
		return Promise.resolve(became > instance.output.lastIndexOf('lost leadership') ? instance : undefined);
	};
	const found = await Promise.all(system.controls.map(metricOf));
	return found.find(instance => instance !== undefined);
}

/** Publishes a change through the other instances while one has a full disk; the disk takes writes again afterwards. */
async function publishWhileFull(full: Instance): Promise<void> {
	system.setDiskFull(full, true);
	const fullUntil = performance.now() + FULL_MS;
	try {
		for (let i = 0; i < 3; i++) {
			const base = version++;
			const document = createConfigDocument(version, ROUTES);
			await waitFor(
				'a change is acknowledged',
				async () => {
					for (const instance of system.controls.filter(other => other !== full)) {
						const response = await system.callControl(instance, 'PUT', '/api/config', document, base);
						if (response.status === 200) {
							return true;
						}
					}
					return undefined;
				},
				CHANGE_TIMEOUT_MS
			);
		}
		assert.equal((await system.lookUp(full, full.hall)).status, 200);
		await delay(Math.max(0, fullUntil - performance.now()));
	} finally {
		system.setDiskFull(full, false);
	}
}

function assertStillRuns(instance: Instance, child: Instance['child']): void {
	assert.equal(instance.child, child);
	assert.equal(child!.exitCode, null, 'the process has not ended');
}

before(async () => {
	system.startAll();
	await system.publish(createConfigDocument(version, ROUTES), 0);
	await waitFor('an entry instance is looked up everywhere', async () => {
		const found = await Promise.all(system.controls.map(control => system.lookUp(control, control.hall)));
		return found.every(({ status }) => status === 200) || undefined;
	});
});

after(() => system.stopAll());

for (const kind of ['leader', 'follower']) {
	test(`a ${kind} with a full disk answers look-ups, does not end, and has all changes afterwards`, async () => {
		const leader = await waitFor('a leader is elected', findLeader);
		const full = kind === 'leader' ? leader : system.controls.find(other => other !== leader)!;
		const { child } = full;
		await publishWhileFull(full);
		assert.equal(await waitFor('the newest change is read', async () => versionAt(full)), version);
		assertStillRuns(full, child);
	});
}

test('an instance that starts on a full disk does not end, and takes part once its disk takes writes', async () => {
	const instance = system.controls[0]!;
	await system.stop(instance, 'SIGKILL');
	system.setDiskFull(instance, true);
	system.start(instance, false);
	const { child } = instance;
	await delay(FULL_MS);
	system.setDiskFull(instance, false);
	assert.equal(await waitFor('the newest change is read', async () => versionAt(instance)), version);
	assertStillRuns(instance, child);
});
