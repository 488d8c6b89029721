/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Teams within their limits are served by a system of real processes from the first request on, also after the loss of the leader or of all instances. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import {
	type ConfigTeam,
	type Instance,
	PlatformTestSystem,
	createConfigDocument,
	waitFor
} from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/read/', kind: 'safe', service: 'reads' }] as const;
const FREE: ConfigTeam = { name: 'free', keys: ['free-key'] };
/** Limits from 5 to 50 a second. */
const LIMITED: readonly ConfigTeam[] = Array.from({ length: 10 }, (_, i) => ({
	name: `limited-${i}`,
	keys: [`limited-key-${i}`],
	perSecond: 5 * (i + 1),
	burst: 5 * (i + 1)
}));
/** Limits of teams as multiples of the rate at which they send. */
const LIMIT_PER_RATE = 1.6;
/** Rate of a single team as a fraction of its limit. */
const ONE_TEAM_FRACTION = 0.6;
const STEP_MS = 20;
const system = new PlatformTestSystem(3, 2);
const target = new TestTarget({
	id: 'i-1',
	host: system.targetHost(1),
	port: 8080,
	slots: 64,
	workMs: 2,
	paddingBytes: 20
});

interface Outcome {
	readonly status: number;
	readonly tookMs: number;
}

async function send(team: ConfigTeam, instance: Instance): Promise<Outcome> {
	const startedAt = performance.now();
	const { status } = await system.request(instance, 'GET', '/read/1', {
		headers: { Credential: team.keys[0]! }
	});
	return { status, tookMs: performance.now() - startedAt };
}

/** Sends requests of one team below its limit at both instances in turn, 0 counts as the status of those without a response. */
async function sendOne(team: ConfigTeam, spanMs: number): Promise<number[]> {
	const statuses: Promise<number>[] = [];
	const startedAt = performance.now();
	for (let elapsedMs = 0; elapsedMs < spanMs; elapsedMs = performance.now() - startedAt) {
		while (statuses.length < (ONE_TEAM_FRACTION * team.perSecond! * elapsedMs) / 1000) {
			const instance = system.entries[statuses.length % system.entries.length]!;
			statuses.push(
				send(team, instance).then(
					({ status }) => status,
					() => 0
				)
			);
		}
		await new Promise(resolve => setTimeout(resolve, STEP_MS));
	}
	return Promise.all(statuses);
}

/** Sends requests of all limited teams at both instances in turn. */
async function sendAll(spanMs: number): Promise<Outcome[]> {
	const due = LIMITED.map(({ perSecond }) => ({ perSecond: perSecond! / LIMIT_PER_RATE, count: 0 }));
	const outcomes: Promise<Outcome>[] = [];
	const startedAt = performance.now();
	for (let elapsedMs = 0; elapsedMs < spanMs; elapsedMs = performance.now() - startedAt) {
		due.forEach((team, i) => {
			for (; team.count < (team.perSecond * elapsedMs) / 1000; team.count++) {
				outcomes.push(send(LIMITED[i]!, system.entries[(team.count + i) % system.entries.length]!));
			}
		});
		await new Promise(resolve => setTimeout(resolve, STEP_MS));
	}
	return Promise.all(outcomes);
}

function summary(outcomes: readonly Outcome[]): string {
	const times = outcomes.map(({ tookMs }) => Math.round(tookMs)).sort((a, b) => a - b);
	const refused = outcomes.filter(({ status }) => status !== 200).map(({ status }) => status);
	return `${refused.length} of ${outcomes.length} refused [${[...new Set(refused)].join()}], ${times[Math.floor(times.length / 2)]} ms p50, ${times[Math.floor(times.length * 0.99)]} ms p99`;
}

function refusedCount(outcomes: readonly Outcome[]): number {
	return outcomes.filter(({ status }) => status !== 200).length;
}

/** Waits until a ledger has started and requests of a team without a limit are served. */
async function waitUntilServed(): Promise<void> {
	await system.sendHeartbeat(target, 'reads');
	await waitFor('a credit ledger has started', () =>
		Promise.resolve(system.controls.some(({ output }) => output.includes('credit ledger started')) || undefined)
	);
	for (const instance of system.entries) {
		await waitFor('the route is served', async () =>
			(await send(FREE, instance).catch(() => undefined))?.status === 200 ? true : undefined
		);
	}
}

before(async () => {
	await target.listen();
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES, [FREE, ...LIMITED]), 0);
	await system.sendHeartbeat(target, 'reads');
	for (const instance of system.entries) {
		await waitFor('the route is served', async () => ((await send(FREE, instance)).status === 200 ? true : undefined));
	}
});

after(async () => {
	await system.stopAll();
	target.crash();
});

test('no request within the limits is refused, from the first one on', async t => {
	const outcomes = await sendAll(8000);
	t.diagnostic(summary(outcomes));
	assert.equal(refusedCount(outcomes), 0, summary(outcomes));
});

test('hardly any request within the limits is refused after the leader was killed', async t => {
	const leader = system.controls.find(({ output }) => output.includes('credit ledger started'))!;
	const outcomes = sendAll(10000);
	await new Promise(resolve => setTimeout(resolve, 1000));
	await system.stop(leader, 'SIGKILL');
	t.diagnostic(summary(await outcomes));
	assert.ok(refusedCount(await outcomes) <= 0.001 * (await outcomes).length, summary(await outcomes));
});

test('a team within its limit is served at once after all control and entry instances were killed and started again', async t => {
	const all = [...system.controls, ...system.entries];
	const team = LIMITED.at(-1)!;
	await Promise.all(all.map(instance => system.stop(instance, 'SIGKILL')));
	all.forEach(instance => system.start(instance, false));
	await waitUntilServed();
	await sendOne(team, 12000);
	const loadUntilKilled = sendOne(team, 2000);
	await new Promise(resolve => setTimeout(resolve, 1500));
	await Promise.all(all.map(instance => system.stop(instance, 'SIGKILL')));
	await loadUntilKilled;
	all.forEach(instance => {
		instance.output = '';
		system.start(instance, false);
	});
	const restartedAt = performance.now();
	await waitUntilServed();
	const recoveryMs = Math.round(performance.now() - restartedAt);
	const perSecond: number[] = [];
	for (let second = 0; second < 7; second++) {
		const statuses = await sendOne(team, 1000);
		perSecond.push(statuses.filter(status => status === 200).length / statuses.length);
	}
	const served = perSecond.map(fraction => fraction.toFixed(2)).join(', ');
	t.diagnostic(`recovered after ${recoveryMs} ms, then served by second: ${served}`);
	assert.ok(perSecond[0]! >= 0.8, served);
	assert.ok(perSecond.at(-1)! >= 0.99, served);
});
