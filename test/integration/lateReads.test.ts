/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Requests on the product's own path that wait while their entry instance does not run. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import { LocalSystem } from '../local/localSystem.js';

const REQUESTS = 8;
const DEADLINE_MS = 1000;
const STOPPED_MS = 1200;
const MAX_OVERDUE_MS = 500;
const WORK_MS = 20000;
let system: LocalSystem;

before(async () => {
	system = await LocalSystem.start({ lookupTtlMs: 1000, targetsPerService: 12 });
	const headers = { 'shelffield-group': 'growers' };
	while ((await request(`${system.entries[0]!.url}/s/grower/ready`, { headers })).statusCode !== 200) {
		await delay(20);
	}
});

after(() => system.stop());

/** Guards against a deadline that counts only from when a request is read. */
test('requests that waited beyond their deadline are answered when their instance goes on', async () => {
	const { process, url } = system.entries[0]!;
	const headers = { 'shelffield-group': 'growers', 'shelffield-deadline-ms': String(DEADLINE_MS) };
	process.signal('SIGSTOP');
	const answered = Array.from({ length: REQUESTS }, async (_, i) => {
		const { body } = await request(`${url}/s/grower/${i}?workMs=${WORK_MS}`, { headers, reset: true });
		await body.dump();
		return performance.now();
	});
	await delay(STOPPED_MS);
	const continuedAt = performance.now();
	process.signal('SIGCONT');
	const tookMs = (await Promise.all(answered)).map(at => Math.round(at - continuedAt));
	assert.ok(Math.max(...tookMs) < MAX_OVERDUE_MS, `answered after ${tookMs.join(', ')} ms`);
});
