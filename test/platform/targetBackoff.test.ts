/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * A target that rejects a request may ask for backoff (Retry-After), and one that shuts down reports so in its responses (Server-Leaving).
 * Guards against entry instances that keep sending to either, also if no control instance has notified them.
 */

import assert from 'node:assert/strict';
import { after, afterEach, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import {
	PlatformTestSystem,
	type HttpResponse,
	type Instance,
	createConfigDocument,
	waitFor
} from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [
	{ prefix: '/read/', kind: 'safe', service: 'reads' },
	{ prefix: '/order/', kind: 'unsafe', service: 'reads' }
] as const;
const BACKOFF_MS = 3000;
/** Time for which requests that were in flight when a target asked for backoff may still arrive. */
const IN_FLIGHT_MS = 500;
/** Maximum number of requests that reach a target from one instance during the backoff after that time. */
const MAX_REQUESTS_DURING_BACKOFF = 2;
/** Time after which a draining target must get no requests. */
const DRAIN_TIMEOUT_MS = 2500;
const SEND_INTERVAL_MS = 15;
const OBJECT_COUNT = 12;
/** Start time of the next incarnation of a target, as Unix milliseconds. */
const RESTARTED_AT_MS = 1767630000000;

const system = new PlatformTestSystem(3, 1);
const [entry] = system.entries as [Instance];
const targets = [1, 2, 3, 4].map(
	index =>
		new TestTarget({
			id: `i-${index}`,
			host: system.targetHost(index),
			port: 8080,
			slots: 4,
			workMs: 5,
			paddingBytes: 20
		})
);
let sentCount = 0;

/** Sends a request for one of several objects in turn: every third at-most-once, the others repeatable. */
function sendRequest(): Promise<HttpResponse> {
	const cookie = `Affinity-Key=${sentCount++ % OBJECT_COUNT}`;
	const isOrder = sentCount % 3 === 0;
	return isOrder
		? system.request(entry, 'POST', '/order/1', { headers: { Cookie: cookie }, body: 'one unit' })
		: system.request(entry, 'GET', '/read/1', { headers: { Cookie: cookie } });
}

/** Sends requests at a constant interval for a time; returns their statuses. */
async function sendLoad(durationMs: number): Promise<number[]> {
	const endTime = performance.now() + durationMs;
	const responses: Promise<HttpResponse>[] = [];
	while (performance.now() < endTime) {
		const response = sendRequest();
		// A failure while later requests are still being sent is reported by Promise.all below, not as an unhandled rejection.
		response.catch(() => undefined);
		responses.push(response);
		await delay(SEND_INTERVAL_MS);
	}
	return (await Promise.all(responses)).map(({ status }) => status);
}

async function waitUntilAllTargetsUsed(): Promise<void> {
	await waitFor('all targets get requests', async () => {
		const notDraining = targets.filter(target => target.extraHeaders['Server-Leaving'] === undefined);
		const executedBefore = notDraining.map(target => target.executedRequests.length);
		await sendLoad(300);
		return notDraining.every((target, i) => target.executedRequests.length > executedBefore[i]!) ? true : undefined;
	});
}

before(async () => {
	await Promise.all(targets.map(target => target.listen()));
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	await Promise.all(targets.map(target => system.sendHeartbeat(target, 'reads')));
	await waitFor('requests are served', async () => ((await sendRequest()).status === 200 ? true : undefined));
	await waitUntilAllTargetsUsed();
});

afterEach(async () => {
	targets.forEach(target => {
		target.rejectionHeaders = undefined;
		target.rejectedRequests.length = 0;
	});
	await waitUntilAllTargetsUsed();
});

after(async () => {
	await system.stopAll();
	targets.forEach(target => target.crash());
});

/** Lets one target reject all requests and ask for backoff, and asserts that it gets almost none after those in flight. */
async function assertBackoffRespected(loadHeaders: Readonly<Record<string, string>>): Promise<void> {
	const [target] = targets as [TestTarget];
	target.rejectedRequests.length = 0;
	target.rejectionHeaders = { 'Retry-After': String(BACKOFF_MS / 1000), ...loadHeaders };
	const statuses = await sendLoad(BACKOFF_MS - 200);
	target.rejectionHeaders = undefined;
	const [first] = target.rejectedRequests;
	assert.ok(first, 'a request was rejected');
	const lateRequests = target.rejectedRequests.filter(
		({ at }) => at > first.at + IN_FLIGHT_MS && at < first.at + BACKOFF_MS
	);
	assert.ok(
		lateRequests.length <= MAX_REQUESTS_DURING_BACKOFF,
		`${lateRequests.length} requests during the backoff, ${target.rejectedRequests.length} rejected in all`
	);
	const served = statuses.filter(status => status === 200).length;
	assert.ok(served >= 0.98 * statuses.length, `${served} of ${statuses.length} served`);
}

test('a target that asks for backoff and reports free slots gets no more than requests in flight', async () => {
	await assertBackoffRespected({ 'Server-Load': '1,0,4' });
});

test('a target that asks for backoff and reports full slots, or no load, gets no more than requests in flight', async () => {
	await assertBackoffRespected({ 'Server-Load': '4,8,4' });
	await waitUntilAllTargetsUsed();
	await assertBackoffRespected({});
});

test('a request is rejected at once if all targets asked for backoff, with the earliest end of it as Retry-After', async () => {
	targets.forEach((target, i) => (target.rejectionHeaders = { 'Retry-After': String(i === 2 ? 1.5 : 4) }));
	const startedAt = performance.now();
	await waitFor('all targets are in backoff', async () => {
		const reason = JSON.parse((await sendRequest()).body) as { reason: string };
		return reason.reason === 'targets-at-rest' ? true : undefined;
	});
	const response = await sendRequest();
	const retryAfterSeconds = Number(response.headers['retry-after']);
	assert.equal(response.status, 503);
	assert.ok(
		retryAfterSeconds <= 1.5 && retryAfterSeconds >= 1.5 - (performance.now() - startedAt) / 1000,
		`${retryAfterSeconds} s`
	);
	const rejectedCounts = targets.map(target => target.rejectedRequests.length);
	await sendLoad(300);
	assert.deepEqual(
		targets.map(target => target.rejectedRequests.length),
		rejectedCounts
	);
	targets.forEach(target => (target.rejectionHeaders = undefined));
	await waitFor(
		'the first target serves again',
		async () => ((await sendRequest()).status === 200 ? true : undefined),
		3000
	);
});

test('a target that restarts under its id is not in backoff', async () => {
	const [target] = targets as [TestTarget];
	target.rejectionHeaders = { 'Retry-After': '600' };
	await waitFor('the target rejects a request', async () => {
		await sendRequest();
		return target.rejectedRequests.length > 0 ? true : undefined;
	});
	target.rejectionHeaders = undefined;
	await system.sendHeartbeat(target, 'reads', 'ready', '0ms', RESTARTED_AT_MS);
});

test('a target that reports in its responses that it is draining gets no new requests, without notice from control', async () => {
	const draining = targets[3]!;
	draining.extraHeaders = { 'Server-Leaving': '1' };
	const before = draining.executedRequests.length;
	await waitFor('the target runs a request', async () => {
		await sendRequest();
		return draining.executedRequests.length > before ? true : undefined;
	});
	await delay(DRAIN_TIMEOUT_MS);
	const executedBeforeDeadline = draining.executedRequests.length;
	const statuses = await sendLoad(1000);
	assert.equal(draining.executedRequests.length - executedBeforeDeadline, 0);
	assert.ok(statuses.every(status => status === 200));
});
