/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * A body of more than 64 KB passes through and is not held. Where no connection to a target comes up, or its request is taken back
 * before, the whole of the body has to be there for the next target: nothing is taken from the caller until a target reads it.
 */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { DiscoveredSystem, routeDocument, until } from './discoveredSystem.js';
import { StandInTarget } from './standInTarget.js';

const ROUTES = [{ prefix: '/order/', kind: 'unsafe', service: 'orders' }] as const;
const BODY_BYTES = 500000;
const REQUESTS = 16;
const COLD_MS = 3000;
/** Within this time an instance knows of a target. */
const KNOWN_MS = 1500;
const system = new DiscoveredSystem(3, 1);
const [entry] = system.entries as [(typeof system.entries)[0]];
const [there, absent] = [1, 2].map(
	place =>
		new StandInTarget({
			id: `i-${place}`,
			host: system.targetHost(place),
			port: 8080,
			slots: 40,
			workMs: 5,
			answerBytes: 20
		})
) as [StandInTarget, StandInTarget];

before(async () => {
	await there.listen();
	system.startAll();
	await system.publish(routeDocument(1, ROUTES), 0);
	await system.heartbeat(there, 'orders');
	await until('requests are served', async () =>
		(await system.request(entry, 'POST', '/order/1', { body: 'x' })).status === 200 ? true : undefined
	);
});

after(async () => {
	await system.stopAll();
	there.crash();
});

test('a large body arrives whole at another target where no connection to the first one came up', async () => {
	await system.heartbeat(absent, 'orders');
	// A target that has just been heard of gets little for as long as it may be cold.
	await new Promise(resolve => setTimeout(resolve, COLD_MS + KNOWN_MS));
	const body = 'y'.repeat(BODY_BYTES);
	const sent = Array.from({ length: REQUESTS }, (_, i) =>
		system.request(entry, 'POST', '/order/1', { id: `large-${i}`, body, headers: { Cookie: `Affinity-Key=${i}` } })
	);
	const statuses = (await Promise.all(sent)).map(({ status }) => status);
	const arrived = there.ran.filter(seen => seen.id.startsWith('large-'));
	assert.deepEqual(
		arrived.filter(seen => seen.body.length !== BODY_BYTES).map(seen => seen.body.length),
		[]
	);
	assert.deepEqual(
		statuses,
		Array.from(statuses, () => 200)
	);
});
