/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Targets that report how long work takes there: a target at a third of its speed, one that is full, and figures that cannot be
 * right. Guards against an entry instance that keeps sending objects to a target that answers late beside one with room.
 */

import assert from 'node:assert/strict';
import { after, afterEach, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import {
	PlatformTestSystem,
	type Instance,
	createConfigDocument,
	sendHttpRequest,
	waitFor
} from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/read/', kind: 'safe', service: 'reads' }] as const;
const SLOTS = 6;
/** Time that a request takes at usual speed, with the object cached and without. */
const HIT_MS = 120;
const MISS_MS = 400;
const SLOW_FACTOR = 3;
const SEND_INTERVAL_MS = 50;
const OBJECT_COUNT = 12;
/** Time in which the speed of the targets becomes known. */
const SETTLE_MS = 4000;
const MEASURE_MS = 8000;

/** A target whose work takes `factor` times as long as usual. */
class SlowableTarget {
	factor = 1;
	readonly target: TestTarget;
	private readonly _seenObjects = new Set<string>();

	constructor(index: number) {
		this.target = new TestTarget({
			id: `i-${index}`,
			host: system.targetHost(index),
			port: 8080,
			slots: SLOTS,
			workMs: HIT_MS,
			paddingBytes: 20,
			workMsOf: ({ headers }) => this._workMs(String(headers.cookie))
		});
		this.setFactor(1);
	}

	setFactor(factor: number): void {
		this.factor = factor;
		this.reportLoad(`1,0,${SLOTS},${factor * 100}`);
	}

	reportLoad(text: string): void {
		this.target.extraHeaders = { 'Server-Load': text };
	}

	private _workMs(object: string): number {
		const isCached = this._seenObjects.has(object);
		this._seenObjects.add(object);
		return this.factor * (isCached ? HIT_MS : MISS_MS);
	}
}

const system = new PlatformTestSystem(3, 1);
const [entry] = system.entries as [Instance];
const [usual, changed] = [new SlowableTarget(1), new SlowableTarget(2)];
let sentCount = 0;

/** Sends a request for one of several objects in turn; returns its status and the time that it took. */
async function sendRequest(): Promise<{ readonly status: number; readonly tookMs: number }> {
	const startedAt = performance.now();
	const headers = { Cookie: `Affinity-Key=${sentCount++ % OBJECT_COUNT}` };
	const { status } = await system.request(entry, 'GET', '/read/1', { headers });
	return { status, tookMs: performance.now() - startedAt };
}

async function sendLoad(durationMs: number): Promise<Awaited<ReturnType<typeof sendRequest>>[]> {
	const endTime = performance.now() + durationMs;
	const responses: ReturnType<typeof sendRequest>[] = [];
	while (performance.now() < endTime) {
		const response = sendRequest();
		response.catch(() => undefined);
		responses.push(response);
		await delay(SEND_INTERVAL_MS);
	}
	return Promise.all(responses);
}

before(async () => {
	await Promise.all([usual, changed].map(({ target }) => target.listen()));
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	await Promise.all([usual, changed].map(({ target }) => system.sendHeartbeat(target, 'reads')));
	await waitFor('requests are served', async () => ((await sendRequest()).status === 200 ? true : undefined));
	await waitFor('both targets get requests', async () => {
		await sendLoad(500);
		return [usual, changed].every(({ target }) => target.executedRequests.length > 0) ? true : undefined;
	});
});

afterEach(async () => {
	changed.setFactor(1);
	usual.setFactor(1);
	changed.target.rejectionHeaders = undefined;
	const countBefore = changed.target.executedRequests.length;
	await waitFor('the target gets requests again', async () => {
		await sendLoad(300);
		return changed.target.executedRequests.length > countBefore ? true : undefined;
	});
});

after(async () => {
	await system.stopAll();
	[usual, changed].forEach(({ target }) => target.crash());
});

test('a target at a third of its speed gets few requests while another has room, and most answers are quick', async context => {
	changed.setFactor(SLOW_FACTOR);
	await sendLoad(SETTLE_MS);
	const [usualBefore, changedBefore] = [usual, changed].map(({ target }) => target.arrivalTimes.length) as [
		number,
		number
	];
	const answers = await sendLoad(MEASURE_MS);
	const ratio = (changed.target.arrivalTimes.length - changedBefore) / (usual.target.arrivalTimes.length - usualBefore);
	const quick = answers.filter(({ status, tookMs }) => status === 200 && tookMs <= 1.5 * HIT_MS).length;
	const measured = `${ratio.toFixed(3)} of the other's requests, ${(quick / answers.length).toFixed(3)} of the answers quick`;
	context.diagnostic(measured);
	assert.ok(ratio <= 0.2, measured);
	assert.ok(quick >= 0.95 * answers.length, measured);
});

test('a full target gets few requests while another is free', async context => {
	changed.target.rejectionHeaders = {};
	changed.reportLoad(`${SLOTS},18,${SLOTS},100`);
	await sendLoad(SETTLE_MS);
	const changedBefore = changed.target.arrivalTimes.length;
	const answers = await sendLoad(MEASURE_MS);
	const ratio = (changed.target.arrivalTimes.length - changedBefore) / answers.length;
	context.diagnostic(`${ratio.toFixed(3)} of the requests`);
	assert.ok(ratio <= 0.05, `${ratio.toFixed(3)} of the requests`);
	assert.ok(answers.every(({ status }) => status === 200));
});

test('work times that cannot be right are left out and counted, and requests are served', async () => {
	for (const text of ['0', '-100', '100000000', 'much', '100,7']) {
		changed.reportLoad(`1,0,${SLOTS},${text}`);
		const answers = await sendLoad(600);
		assert.ok(
			answers.every(({ status }) => status === 200),
			text
		);
	}
	const { body } = await sendHttpRequest('GET', `${system.metricsUrl(entry)}/metrics`);
	const count = Number(/^shelffield_invalid_load_reports_total{service="reads"} (\d+)$/m.exec(body)?.[1]);
	assert.ok(count >= 5, `${count} counted`);
	const mean = Number(/^shelffield_work_time_factor{service="reads",kind="mean"} ([\d.]+)$/m.exec(body)?.[1]);
	assert.ok(mean >= 0.99 && mean < 1.3, `mean factor ${mean}`);
});
