/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Draining under load: no new requests to draining targets, no aborted requests, and shifts that stay within their cap. */

import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { after, before, test } from 'node:test';
import { Agent, request } from 'undici';
import { BUCKET_COUNT } from '../../src/plugins/configuration/common/configuration.js';
import { bucketOf } from '../../src/plugins/steering/common/entryRanking.js';
import { LocalSystem, type LocalTarget } from '../local/localSystem.js';

const MAX_DRAIN_DELAY_MS = 3000;
const CAP_PERMILLE = 200;
const CAP_WINDOW_MS = 700;
/** One client for every fifth bucket, so that the moved share can be counted exactly. */
const CLIENT_COUNT = 200;

const agent = new Agent({ connections: 100 });
let system: LocalSystem;
let isLoadRunning = true;
let loadGenerators: Promise<void>[];
const failures: string[] = [];
let nextRequestNumber = 1;

before(async () => {
	system = await LocalSystem.start({
		lookupTtlMs: 1000,
		targetsPerService: 12,
		groupSettings: { capPermille: CAP_PERMILLE, capWindowMs: CAP_WINDOW_MS }
	});
	loadGenerators = system.entries.slice(1).map(entry => generateLoad(entry.url));
});

after(async () => {
	isLoadRunning = false;
	await Promise.all(loadGenerators);
	await agent.destroy();
	await system.stop();
});

/** Sends one request after another and records those that do not succeed. */
async function generateLoad(url: string): Promise<void> {
	while (isLoadRunning) {
		const response = await request(`${url}/s/grower/load?workMs=15`, {
			dispatcher: agent,
			headers: { 'shelffield-group': 'growers' }
		});
		const text = await response.body.text();
		if (response.statusCode !== 200) {
			failures.push(`${url}: ${response.statusCode} ${text}`);
		}
	}
}

async function confirmIntent(intent: object): Promise<string> {
	const leader = await system.leader();
	const body = { operator: 'ana', number: nextRequestNumber++, intent };
	const planned = await system.sendOperatorRequest(leader, 'POST', '/v1/intents', body);
	assert.equal(planned.status, 200, JSON.stringify(planned.body));
	const { planId, digest } = planned.body as { planId: string; digest: string };
	const confirmation = { operator: 'ana', number: nextRequestNumber++, digest };
	const confirmed = await system.sendOperatorRequest(leader, 'POST', `/v1/plans/${planId}/confirm`, confirmation);
	assert.equal(confirmed.status, 200, JSON.stringify(confirmed.body));
	return planId;
}

/** Waits until no request has started for a second, counted from `since` at the earliest; returns the start time of the last one. */
async function waitForLastRun(target: LocalTarget, since: number): Promise<number> {
	const quietMs = 1000;
	for (;;) {
		const { runs } = await system.journal(target);
		const last = runs.at(-1)?.startedAt ?? 0;
		if (Date.now() - Math.max(last, since) > quietMs) {
			return last;
		}
		assert.ok(Date.now() - since < MAX_DRAIN_DELAY_MS + quietMs * 2, `${target.name} still receives new requests`);
		await new Promise(resolve => setTimeout(resolve, 100));
	}
}

for (const [cause, startDraining, number] of [
	[
		'a drain of it is confirmed',
		(target: LocalTarget) => confirmIntent({ kind: 'drain', scope: 'target', name: target.name }),
		1
	],
	['it reports that it is leaving', (target: LocalTarget) => system.changeTarget(target, { leaving: true }), 2],
	['the platform lists it as leaving', (target: LocalTarget) => system.setListedState(target, 'leaving'), 3]
] as const) {
	test(`a target is drained when ${cause}: no new requests after 3 s, none aborted`, async t => {
		const target = system.targets.find(item => item.name === `grower-${number}`)!;
		const since = Date.now();
		await startDraining(target);
		const last = await waitForLastRun(target, since);
		t.diagnostic(`last new request ${last - since} ms after the drain began`);
		assert.ok(last - since < MAX_DRAIN_DELAY_MS);
		const { runs, overSlots } = await system.journal(target);
		assert.equal(runs.filter(run => run.outcome !== 'answered').length, 0);
		assert.equal(overSlots, 0);
	});
}

test('a flapping platform list does not bring a draining target back at once', async () => {
	const target = system.targets.find(item => item.name === 'grower-3')!;
	const before = (await system.journal(target)).runs.length;
	await system.setListedState(target, 'live');
	await new Promise(resolve => setTimeout(resolve, 900));
	await system.setListedState(target, 'leaving');
	await new Promise(resolve => setTimeout(resolve, 600));
	assert.equal((await system.journal(target)).runs.length, before);
});

test('an entry instance stopped under load completes its long streamed responses and exits with 0', async () => {
	const entry = system.entries[0]!;
	const response = await request(`${entry.url}/s/grower/firmware?bytes=200000&workMs=3000`, {
		headers: { 'shelffield-group': 'growers' }
	});
	const exited = entry.process.stop();
	const text = await response.body.text();
	const body = text.slice(0, -64);
	assert.equal(createHash('sha256').update(body).digest('hex'), text.slice(-64));
	assert.equal(body.length, 200000);
	assert.equal(await exited, 0);
	const lookUp = await request(`${system.entries[1]!.url}/v1/entries?service=grower&group=default`);
	const { entries } = (await lookUp.body.json()) as { entries: { instance: string }[] };
	assert.ok(!entries.some(item => item.instance === entry.name));
	await system.restart(entry);
});

test('the leading control instance exits with 0 when it is stopped under load', async () => {
	const leader = await system.leader();
	assert.equal(await leader.process.stop(), 0);
	await system.leader();
	await system.restart(leader);
});

test('no request of the load generators failed during the tests above', async () => {
	isLoadRunning = false;
	await Promise.all(loadGenerators);
	assert.deepEqual(failures, []);
});

/** Returns, for every fifth bucket, the address of a client that falls into it. */
function createClientPerBucket(): string[] {
	const clients: string[] = [];
	for (let i = 0; clients.filter(Boolean).length < CLIENT_COUNT; i++) {
		const block = `10.${i >> 8}.${i & 255}`;
		const bucket = bucketOf('controllers', block);
		if (bucket % (BUCKET_COUNT / CLIENT_COUNT) === 0) {
			clients[bucket / (BUCKET_COUNT / CLIENT_COUNT)] = `${block}.1`;
		}
	}
	return clients;
}

const clients = createClientPerBucket();

/** Looks up the entry instances for every client at one instance and returns the region of the first one of each. */
async function lookUpFirstRegions(url: string): Promise<string[]> {
	return Promise.all(
		clients.map(async client => {
			const response = await request(`${url}/v1/entries?service=grower&group=controllers&client=${client}`, {
				dispatcher: agent
			});
			const { entries } = (await response.body.json()) as { entries: { region: string }[] };
			return entries[0]!.region;
		})
	);
}

test('a shift moves at most its cap of look-ups in any window, also when an entry instance is killed during it', async t => {
	const observedEntry = system.entries.find(entry => entry.region === 'north')!;
	const samples: { at: number; regions: string[] }[] = [
		{ at: Date.now(), regions: await lookUpFirstRegions(observedEntry.url) }
	];
	const planId = await confirmIntent({ kind: 'prefer', group: 'controllers', region: 'south' });
	const victim = system.entries.find(entry => entry.region === 'central')!;
	await victim.process.kill();
	const restarted = system.restart(victim);
	for (;;) {
		samples.push({ at: Date.now(), regions: await lookUpFirstRegions(observedEntry.url) });
		const record = await system.sendOperatorRequest(await system.leader(), 'GET', `/v1/plans/${planId}`);
		if ((record.body as { status: string }).status === 'done') {
			break;
		}
	}
	await restarted;
	samples.push({ at: Date.now(), regions: await lookUpFirstRegions(observedEntry.url) });
	assert.ok(samples.at(-1)!.regions.every(region => region === 'south'));
	let maxMovedRatio = 0;
	for (const first of samples) {
		const inWindow = samples.filter(sample => sample.at >= first.at && sample.at - first.at <= CAP_WINDOW_MS);
		const moved = inWindow.at(-1)!.regions.filter((region, i) => region !== first.regions[i]).length;
		maxMovedRatio = Math.max(maxMovedRatio, moved / CLIENT_COUNT);
	}
	t.diagnostic(
		`maximum moved in a window: ${(maxMovedRatio * 100).toFixed(1)} % of the clients, cap ${CAP_PERMILLE / 10} %`
	);
	assert.ok(maxMovedRatio <= CAP_PERMILLE / 1000 && maxMovedRatio > 0);
});
