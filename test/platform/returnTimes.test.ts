/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Real processes: a surge that the targets can't serve at once is served once refused callers return at the time that they were told. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { PlatformTestSystem, createConfigDocument, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/read/', kind: 'safe', service: 'reads', timeout: '6000ms' }] as const;
const DEADLINE_MS = 6000;
/** Callers return within this fraction of the time that they have left. */
const MAX_RETURN_FRACTION = 1 / 3;
const WARM_UP_REQUESTS = 160;
const WARM_UP_MS = 4000;
const SURGE_REQUESTS = 200;
const SURGE_MS = 1000;
const system = new PlatformTestSystem(1, 3, 'pressure');
/** Together these serve 80 requests a second. */
const targets = [1, 2, 3, 4].map(
	index =>
		new TestTarget({
			id: `i-${index}`,
			host: system.targetHost(index),
			port: 8080,
			slots: 2,
			workMs: 100,
			paddingBytes: 20,
			queueLength: 2
		})
);

interface Outcome {
	readonly isServed: boolean;
	readonly hasReturned: boolean;
}

/** Sends a request, and once more at the time told if it was refused. */
async function callTwice(number: number): Promise<Outcome> {
	const deadline = performance.now() + DEADLINE_MS;
	const send = (attempt: number) =>
		system.request(system.entries[(number + attempt) % system.entries.length]!, 'GET', `/read/${number}`, {
			remainingMs: Math.max(1, Math.round(deadline - performance.now()))
		});
	const { status, headers } = await send(0);
	const retryAfterMs = headers['retry-after'] === undefined ? undefined : 1000 * Number(headers['retry-after']);
	if (status === 200 || retryAfterMs === undefined) {
		return { isServed: status === 200, hasReturned: false };
	}
	const delayMs = Math.min(retryAfterMs, MAX_RETURN_FRACTION * (deadline - performance.now()));
	await new Promise(resolve => setTimeout(resolve, delayMs));
	return { isServed: (await send(1)).status === 200, hasReturned: true };
}

async function callEvenly(count: number, spanMs: number): Promise<Outcome[]> {
	const outcomes: Promise<Outcome>[] = [];
	const startedAt = performance.now();
	for (let i = 0; i < count; i++) {
		const waitMs = startedAt + (i * spanMs) / count - performance.now();
		if (waitMs > 0) {
			await new Promise(resolve => setTimeout(resolve, waitMs));
		}
		outcomes.push(callTwice(i));
	}
	return Promise.all(outcomes);
}

before(async () => {
	await Promise.all(targets.map(target => target.listen()));
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	for (const target of targets) {
		await system.sendHeartbeat(target, 'reads');
	}
	for (const entry of system.entries) {
		await waitFor('requests are served', async () =>
			(await system.request(entry, 'GET', '/read/1')).status === 200 ? true : undefined
		);
	}
});

after(async () => {
	await system.stopAll();
	targets.forEach(target => target.crash());
});

test('200 requests within a second are served although the targets can do 80 a second', async t => {
	await callEvenly(WARM_UP_REQUESTS, WARM_UP_MS);
	const arrivalsBefore = targets.reduce((sum, { arrivalTimes }) => sum + arrivalTimes.length, 0);
	const outcomes = await callEvenly(SURGE_REQUESTS, SURGE_MS);
	const arrivals = targets.reduce((sum, { arrivalTimes }) => sum + arrivalTimes.length, 0) - arrivalsBefore;
	const served = outcomes.filter(({ isServed }) => isServed).length;
	const returned = outcomes.filter(({ hasReturned }) => hasReturned).length;
	const summary = `${served} of ${SURGE_REQUESTS} served, ${returned} returned, ${arrivals} arrivals at targets`;
	t.diagnostic(summary);
	assert.ok(served >= 0.95 * SURGE_REQUESTS, summary);
	assert.ok(arrivals <= 2 * SURGE_REQUESTS, summary);
});
