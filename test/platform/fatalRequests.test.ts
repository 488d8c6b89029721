/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Guards against a request that keeps crashing targets because its lost runs go unnoticed or are counted only once. */

import assert from 'node:assert/strict';
import { after, before, type TestContext, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createConfigDocument, type Instance, PlatformTestSystem, waitFor } from './platformTestSystem.js';
import { type LostRun, RestartingTargets } from './restartingTargets.js';

const ROUTES = [{ prefix: '/read/', kind: 'safe', service: 'reads' }] as const;
/** Time within which all instances learn of lost runs that one of them observed. */
const PROPAGATION_MS = 4000;
/** Maximum number of lost runs of a quarantined request after that time. */
const MAX_LATER_RUNS = 3;
/** Number of lost runs after which a request is quarantined. */
const QUARANTINE_THRESHOLD = 3;
const SEND_DURATION_MS = 10000;
const RESTART_DELAY_MS = 600;
/** Time for which restarted targets get fewer requests; each test starts with all targets after their cold start. */
const COLD_START_MS = 3000;
const TARGET_COUNT = 14;

const workMsByPath = new Map<string, number>();
const system = new PlatformTestSystem(3, 5);
const targets = new RestartingTargets(system, {
	service: 'reads',
	count: TARGET_COUNT,
	restartDelayMs: RESTART_DELAY_MS,
	crashesOn: ({ path }) => path.startsWith('/read/fatal'),
	workMsOf: ({ path }) => workMsByPath.get(path)
});

/** How callers send a request that crashes its targets. */
interface FatalLoad {
	readonly path: string;
	/** Time from the arrival of the request at a target until the target crashes. */
	readonly crashAfterMs: number;
	readonly intervalMs: number;
	/** Number of requests that are sent at the same time. */
	readonly concurrency?: number;
	/** Time after which callers close their connection; without it they wait for the response. */
	readonly disconnectAfterMs?: number;
	/** Deadline that the callers state. */
	readonly remainingMs?: number;
}

/** Sends the request in intervals for a time, each to the next entry instances. */
async function sendRepeatedly(load: FatalLoad, durationMs: number): Promise<void> {
	const endTime = performance.now() + durationMs;
	for (let sent = 0; performance.now() < endTime;) {
		for (let i = 0; i < (load.concurrency ?? 1); i++) {
			const entry = system.entries[sent++ % system.entries.length]!;
			const { remainingMs, disconnectAfterMs } = load;
			void system.request(entry, 'GET', load.path, { remainingMs, disconnectAfterMs }).catch(() => undefined);
		}
		await delay(load.intervalMs);
	}
}

/** The lost runs that were sent later than all instances should have known of the third lost target. */
function laterRuns(lostRuns: readonly LostRun[], crashAfterMs: number): LostRun[] {
	const thirdTarget = [...new Set(lostRuns.map(({ targetId }) => targetId))][QUARANTINE_THRESHOLD - 1];
	const thresholdReachedAt = lostRuns.find(({ targetId }) => targetId === thirdTarget)?.at ?? Number.POSITIVE_INFINITY;
	return lostRuns.filter(run => run.at - crashAfterMs > thresholdReachedAt + PROPAGATION_MS);
}

/** Number of lines with all of the texts that instances have logged. */
function countLogLines(instances: readonly Instance[], ...texts: readonly string[]): number {
	const lines = instances.flatMap(({ output }) => output.split('\n'));
	return lines.filter(line => texts.every(text => line.includes(text))).length;
}

/** Number of lost runs that the entry instances noticed, and that control counted or passed over, since the start of the system. */
function describeEvidence(): string {
	const { controls, entries } = system;
	const lost = countLogLines(entries, 'target stopped while running a request', 'connection-lost');
	const abandoned = countLogLines(entries, 'target stopped while running a request', 'abandoned');
	const counted = countLogLines(controls, 'lost run reported', '"isCounted":true');
	const passedOver = countLogLines(controls, 'lost run reported', '"isCounted":false');
	return `noticed ${lost} with a lost connection, ${abandoned} abandoned; counted ${counted}, passed over ${passedOver}`;
}

/** Sends a fatal request, and asserts that it crashes targets only until all instances should know of it. */
async function assertSoonQuarantined(t: TestContext, load: FatalLoad): Promise<void> {
	await delay(RESTART_DELAY_MS + COLD_START_MS);
	workMsByPath.set(load.path, load.crashAfterMs);
	await sendRepeatedly(load, SEND_DURATION_MS);
	await delay(load.crashAfterMs);
	const lostRuns = targets.lostRuns.filter(run => run.request.path === load.path);
	const lostTargets = new Set(lostRuns.map(({ targetId }) => targetId)).size;
	const later = laterRuns(lostRuns, load.crashAfterMs).length;
	t.diagnostic(`${lostTargets} targets were lost; ${later} later runs; since the start ${describeEvidence()}`);
	assert.ok(lostTargets >= QUARANTINE_THRESHOLD, `${lostTargets} targets were lost`);
	assert.ok(later <= MAX_LATER_RUNS, `${lostTargets} targets were lost; ${later} runs after all instances should know`);
}

async function isServed(entry: Instance): Promise<true | undefined> {
	return (await system.request(entry, 'GET', '/read/1')).status === 200 ? true : undefined;
}

before(async () => {
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	await targets.start();
	for (const entry of system.entries) {
		await waitFor('requests are served', () => isServed(entry));
	}
});

after(async () => {
	targets.stop();
	await system.stopAll();
});

test('a request that crashes its targets after the callers have disconnected is soon sent to no target', t =>
	assertSoonQuarantined(t, { path: '/read/fatal-left', crashAfterMs: 60, intervalMs: 400, disconnectAfterMs: 40 }));

test('a request that crashes its targets after its deadline is soon sent to no target', t =>
	assertSoonQuarantined(t, { path: '/read/fatal-late', crashAfterMs: 1500, intervalMs: 300, remainingMs: 1000 }));

test('a request that crashes all targets at the same time, again and again, is soon sent to no target', t =>
	assertSoonQuarantined(t, { path: '/read/fatal-wave', crashAfterMs: 60, intervalMs: 100, concurrency: 10 }));

test('a request that crashes targets while no control instance runs is soon sent to no target once they run again', async t => {
	const load = { path: '/read/fatal-no-control', crashAfterMs: 60, intervalMs: 150 };
	await delay(RESTART_DELAY_MS + COLD_START_MS);
	workMsByPath.set(load.path, load.crashAfterMs);
	await Promise.all(system.controls.map(control => system.stop(control, 'SIGKILL')));
	const sending = sendRepeatedly(load, SEND_DURATION_MS + PROPAGATION_MS);
	await delay(PROPAGATION_MS);
	system.controls.forEach(control => system.start(control, false));
	await waitFor('the control instances have a leader', async () => {
		const { status } = await system.callControl(system.controls[0]!, 'GET', '/api/config');
		return status === 200 ? true : undefined;
	});
	const recoveredAt = performance.now();
	await sending;
	const lostRuns = targets.lostRuns.filter(run => run.request.path === load.path);
	const later = lostRuns.filter(run => run.at - load.crashAfterMs > recoveredAt + PROPAGATION_MS).length;
	t.diagnostic(`${lostRuns.length} targets were lost; ${later} later runs; since the start ${describeEvidence()}`);
	assert.ok(
		later <= MAX_LATER_RUNS,
		`${lostRuns.length} targets were lost; ${later} runs after all instances should know`
	);
});
