/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Callers ask three entry instances for more than twice what two targets can do. Guards against urgent requests that are refused as often as
 * others, a small team displaced by a large one, and refusals that come late.
 */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import {
	type ConfigTeam,
	createConfigDocument,
	PlatformTestSystem,
	sendHttpRequest,
	waitFor
} from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [
	{ prefix: '/urgent/', kind: 'safe', service: 'reads', rank: 0 },
	{ prefix: '/read/', kind: 'safe', service: 'reads', rank: 2 }
] as const;
const SMALL: ConfigTeam = { name: 'small', keys: ['small-key'] };
const LARGE: ConfigTeam = { name: 'large', keys: ['large-key'] };
const SLOTS = 4;
const WORK_MS = 100;
/** Objective of the callers. */
const OBJECTIVE_MS = 400;
const LOAD_MS = 10000;
const MIN_IN_TIME_RATIO = 0.95;
const MIN_SLOTS_USED = 0.95;
/** Median time for which an instance may hold a request that it refuses. */
const MAX_MEDIAN_REFUSAL_MS = 1;

const system = new PlatformTestSystem(3, 3, '', ['[admission]', 'ranks = on']);
const targets = [1, 2].map(
	index =>
		new TestTarget({
			id: `i-${index}`,
			host: system.targetHost(index),
			port: 8080,
			slots: SLOTS,
			workMs: WORK_MS,
			paddingBytes: 20,
			queueLength: Number.POSITIVE_INFINITY
		})
);

interface Callers {
	readonly name: string;
	readonly path: string;
	readonly key: string;
	readonly perSecond: number;
}

interface Outcome {
	readonly name: string;
	readonly status: number;
	readonly tookMs: number;
	readonly reason: string | undefined;
}

async function send({ name, path, key }: Callers): Promise<Outcome> {
	const entry = system.entries[Math.floor(Math.random() * system.entries.length)]!;
	const startedAt = performance.now();
	const { status, body } = await system.request(entry, 'GET', path, { headers: { Credential: key } });
	const reason = status === 503 ? (JSON.parse(body) as { reason: string }).reason : undefined;
	return { name, status, tookMs: performance.now() - startedAt, reason };
}

/** Sends all callers' requests at constant rates, each to a random instance, and waits for their outcomes. */
async function sendLoad(callers: readonly Callers[]): Promise<Outcome[]> {
	const startedAt = performance.now();
	const outcomes: Promise<Outcome>[] = [];
	const sent = callers.map(() => 0);
	for (let elapsedMs = 0; elapsedMs < LOAD_MS; elapsedMs = performance.now() - startedAt) {
		callers.forEach((group, i) => {
			for (; sent[i]! < (elapsedMs * group.perSecond) / 1000; sent[i]!++) {
				outcomes.push(send(group));
			}
		});
		await new Promise(resolve => setTimeout(resolve, 2));
	}
	return Promise.all(outcomes);
}

function inTimeRatio(outcomes: readonly Outcome[], name: string): number {
	const own = outcomes.filter(outcome => outcome.name === name);
	return own.filter(({ status, tookMs }) => status === 200 && tookMs <= OBJECTIVE_MS).length / own.length;
}

function lateRatio(outcomes: readonly Outcome[], name: string): number {
	const own = outcomes.filter(outcome => outcome.name === name);
	return own.filter(({ status, tookMs }) => status === 200 && tookMs > OBJECTIVE_MS).length / own.length;
}

/** Part of the work that the targets' slots can do in the time that was done. */
function slotsUsed(outcomes: readonly Outcome[]): number {
	const served = outcomes.filter(({ status }) => status === 200).length;
	return (served * WORK_MS) / (LOAD_MS * SLOTS * targets.length);
}

function assertServed(
	context: { diagnostic(message: string): void },
	outcomes: readonly Outcome[],
	name: string
): void {
	const names = [...new Set(outcomes.map(outcome => outcome.name))];
	const ratios = names.map(
		each => `${each} ${inTimeRatio(outcomes, each).toFixed(3)} in time, ${lateRatio(outcomes, each).toFixed(3)} late`
	);
	const summary = `${ratios.join(', ')}; ${slotsUsed(outcomes).toFixed(3)} of the slots used`;
	context.diagnostic(summary);
	const others = names.filter(each => each !== name).map(each => inTimeRatio(outcomes, each));
	assert.ok(inTimeRatio(outcomes, name) >= Math.max(MIN_IN_TIME_RATIO, 2 * Math.max(...others)), summary);
	assert.ok(slotsUsed(outcomes) >= MIN_SLOTS_USED, summary);
}

before(async () => {
	await Promise.all(targets.map(target => target.listen()));
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES, [SMALL, LARGE]), 0);
	await Promise.all(targets.map(target => system.sendHeartbeat(target, 'reads')));
	await waitFor('all instances are ready', async () =>
		(await Promise.all(system.entries.map(entry => system.isReady(entry)))).every(isReady => isReady) ? true : undefined
	);
	const warmUp: Callers = { name: 'all', path: '/read/1', key: 'large-key', perSecond: 0 };
	for (const target of targets) {
		await waitFor('all targets are used', async () => {
			await Promise.all(Array.from({ length: 6 }, () => send(warmUp)));
			return target.executedRequests.length > 0 ? true : undefined;
		});
	}
});

after(async () => {
	await system.stopAll();
	targets.forEach(target => target.crash());
});

test('urgent requests are served before less urgent ones', async context => {
	const outcomes = await sendLoad([
		{ name: 'urgent', path: '/urgent/1', key: 'large-key', perSecond: 40 },
		{ name: 'less urgent', path: '/read/1', key: 'large-key', perSecond: 160 }
	]);
	assertServed(context, outcomes, 'urgent');
	assert.ok(outcomes.some(({ reason }) => reason === 'low-rank'));
});

test('a small team is served beside a large one', async context => {
	const outcomes = await sendLoad([
		{ name: 'small', path: '/read/1', key: 'small-key', perSecond: 20 },
		{ name: 'large', path: '/read/1', key: 'large-key', perSecond: 160 }
	]);
	assertServed(context, outcomes, 'small');
	assert.ok(outcomes.some(({ reason }) => reason === 'over-team-share'));
});

test('metrics and the log tell the shortage, who was refused and why, and that refusals take no time', async context => {
	const entry = system.entries[0]!;
	const { body } = await sendHttpRequest('GET', `${system.metricsUrl(entry)}/metrics`);
	assert.match(
		body,
		/shelffield_shortage_decisions_total{service="reads",rank="1.2",team="large",decision="refused-team-share"} \d/
	);
	assert.match(body, /shelffield_shortage_admitted_fraction{service="reads"} 0?\.?\d/);
	assert.match(entry.output, /shortage of slots, served by rank/);
	const heldMs = entry.output
		.split('\n')
		.filter(line => line.includes('"reason":"low-rank"'))
		.map(line => (JSON.parse(line) as { heldMs: number }).heldMs);
	const median = heldMs.sort((a, b) => a - b)[Math.floor(heldMs.length / 2)]!;
	context.diagnostic(`${heldMs.length} refusals by rank in the log, held for ${median} ms in the median`);
	assert.ok(median <= MAX_MEDIAN_REFUSAL_MS);
});
