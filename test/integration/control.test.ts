/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Control instances under crashes, suspensions, network partitions and lost disks, with delays between regions. */

import assert from 'node:assert/strict';
import { rm } from 'node:fs/promises';
import { after, before, test } from 'node:test';
import { request } from 'undici';
import { type LocalControl, LocalSystem } from '../local/localSystem.js';

interface PlanResponse {
	readonly planId: string;
	readonly digest: string;
}

interface ConfirmResponse {
	readonly revision: number;
	readonly inForce: { readonly count: number; readonly of: number; readonly missing: string[] };
}

let system: LocalSystem;
let nextRequestNumber = 1;
const lastServedRevisions = new Map<string, number>();
let isWatching = true;
/** Whether every look-up must return all entry instances: true while all of them are reachable, also during a change of leader. */
let areAllEntriesExpected = false;
let watcher: Promise<void>;

before(async () => {
	system = await LocalSystem.start({
		lookupTtlMs: 1000,
		targetsPerService: 6,
		delays: true,
		groupSettings: { capPermille: 500, capWindowMs: 200 },
		controlSettings: { agreement: { snapshotEveryEntries: 300 } }
	});
	watcher = watchRevisions();
});

after(async () => {
	isWatching = false;
	await watcher;
	await system.stop();
});

/** Polls look-ups at all entry instances and checks that the served revision never decreases. */
async function watchRevisions(): Promise<void> {
	while (isWatching) {
		for (const entry of system.entries) {
			const response = await request(`${entry.url}/v1/entries?service=grower&group=default&client=10.0.0.1`);
			assert.equal(response.statusCode, 200, `${entry.name} responds to look-ups`);
			const { revision, entries } = (await response.body.json()) as { revision: number; entries: unknown[] };
			if (areAllEntriesExpected) {
				assert.equal(entries.length, system.entries.length, `${entry.name} returns every instance`);
			}
			assert.ok(
				revision >= (lastServedRevisions.get(entry.name) ?? 0),
				`${entry.name} went back to revision ${revision}`
			);
			lastServedRevisions.set(entry.name, revision);
		}
		await new Promise(resolve => setTimeout(resolve, 20));
	}
}

/** Sends a request to the control instances in turn, with the same number, until a response other than 503 arrives. */
async function sendUntilFinal(path: string, body: object, controls: readonly LocalControl[]) {
	for (let i = 0; ; i++) {
		const control = controls[i % controls.length]!;
		const response = await system.sendOperatorRequest(control, 'POST', path, body).catch(() => undefined);
		if (response && response.status !== 503) {
			return response;
		}
		await new Promise(resolve => setTimeout(resolve, 20));
	}
}

async function confirmIntent(
	intent: object,
	controls: readonly LocalControl[] = system.controls
): Promise<ConfirmResponse> {
	const planned = await sendUntilFinal(
		'/v1/intents',
		{ operator: 'ana', number: nextRequestNumber++, intent },
		controls
	);
	assert.equal(planned.status, 200, JSON.stringify(planned.body));
	const { planId, digest } = planned.body as PlanResponse;
	const body = { operator: 'ana', number: nextRequestNumber++, digest };
	const confirmed = await sendUntilFinal(`/v1/plans/${planId}/confirm`, body, controls);
	assert.equal(confirmed.status, 200, JSON.stringify(confirmed.body));
	return confirmed.body as ConfirmResponse;
}

function shareIntent(value: number): object {
	return { kind: 'share', group: 'default', share: value };
}

async function measureMs<T>(action: () => Promise<T>): Promise<{ ms: number; result: T }> {
	const startedAt = performance.now();
	const result = await action();
	return { ms: performance.now() - startedAt, result };
}

/** Waits until the leader reports this number of voters. */
async function waitForVoters(count: number): Promise<void> {
	for (;;) {
		const leader = await system.leader();
		const status = await system.sendOperatorRequest(leader, 'GET', '/v1/status');
		const members = (status.body as { members?: { role: string }[] }).members ?? [];
		if (members.filter(member => member.role === 'voter').length === count) {
			return;
		}
		await new Promise(resolve => setTimeout(resolve, 50));
	}
}

test('thirty plans are confirmed and in force at all nine instances within 2 s each', async t => {
	const times: number[] = [];
	for (let i = 0; i < 30; i++) {
		const { ms, result } = await measureMs(() => confirmIntent(shareIntent(100 + i)));
		assert.deepEqual(result.inForce.missing, []);
		times.push(ms);
	}
	times.sort((a, b) => a - b);
	t.diagnostic(`plan and confirm together: median ${times[15]!.toFixed(0)} ms, longest ${times[29]!.toFixed(0)} ms`);
	assert.ok(times[29]! < 2000);
});

test('writes succeed after the leader is killed, and the restarted instance becomes a voter again', async t => {
	const leader = await system.leader();
	const others = system.controls.filter(control => control !== leader);
	areAllEntriesExpected = true;
	await leader.process.kill();
	const { ms, result } = await measureMs(() => confirmIntent(shareIntent(200), others));
	t.diagnostic(`from the kill until a plan is made, confirmed and in force: ${ms.toFixed(0)} ms`);
	assert.deepEqual(result.inForce.missing, []);
	await system.restart(leader);
	await waitForVoters(3);
	areAllEntriesExpected = false;
});

test('writes succeed while the leader is suspended; resumed, it serves no stale state', async t => {
	const leader = await system.leader();
	const others = system.controls.filter(control => control !== leader);
	areAllEntriesExpected = true;
	leader.process.signal('SIGSTOP');
	const { ms, result } = await measureMs(() => confirmIntent(shareIntent(300), others));
	t.diagnostic(`from the suspension until a plan is made, confirmed and in force: ${ms.toFixed(0)} ms`);
	leader.process.signal('SIGCONT');
	const status = await system.sendOperatorRequest(leader, 'GET', '/v1/status');
	if (status.status === 200) {
		assert.ok((status.body as { revision: number }).revision >= result.revision);
	}
	await waitForVoters(3);
	areAllEntriesExpected = false;
});

test('writes succeed while the leader is partitioned; after healing, nothing is reverted', async t => {
	const leader = await system.leader();
	const others = system.controls.filter(control => control !== leader);
	const isPartitioned = (link: { from: string; to: string }): boolean =>
		link.to === leader.name || link.from === leader.hall;
	await system.changeLinks(isPartitioned, { cutForward: true, cutBackward: true });
	const { ms } = await measureMs(() => confirmIntent(shareIntent(400), others));
	t.diagnostic(`from the partition until a plan is made and confirmed: ${ms.toFixed(0)} ms`);
	await system.changeLinks(isPartitioned, { cutForward: false, cutBackward: false });
	await waitForVoters(3);
	const { revision } = await confirmIntent(shareIntent(401));
	for (const entry of system.entries) {
		while ((lastServedRevisions.get(entry.name) ?? 0) < revision) {
			await new Promise(resolve => setTimeout(resolve, 20));
		}
	}
});

test('a replica that lost its disk becomes a voter again, and losing another one right after loses no state', async t => {
	const [first, second] = system.controls.filter(control => control !== system.control('c1'));
	for (const victim of [first!, second!]) {
		const { revision } = await confirmIntent(shareIntent(500));
		await victim.process.kill();
		await rm(victim.dataFolder, { recursive: true });
		const { ms } = await measureMs(async () => {
			await system.restart(victim);
			await waitForVoters(3);
		});
		t.diagnostic(`${victim.name} is a voter again ${ms.toFixed(0)} ms after its restart with an empty disk`);
		const after = await confirmIntent(shareIntent(501));
		assert.ok(after.revision > revision);
	}
});

test('a repeated number returns the same response; different content is rejected; numbers are per operator', async () => {
	const [one, two] = system.controls;
	const body = { operator: 'ben', number: 1, intent: shareIntent(600) };
	const first = await sendUntilFinal('/v1/intents', body, [one!]);
	const again = await sendUntilFinal('/v1/intents', body, [two!]);
	assert.deepEqual(again, first);
	const reused = await sendUntilFinal('/v1/intents', { ...body, intent: shareIntent(601) }, [two!]);
	assert.deepEqual([reused.status, (reused.body as { code: string }).code], [409, 'number-reused']);
	const { planId, digest } = first.body as PlanResponse;
	const otherPlanned = await sendUntilFinal('/v1/intents', { ...body, operator: 'cleo', intent: shareIntent(602) }, [
		one!
	]);
	assert.equal(otherPlanned.status, 200);
	const otherPlan = otherPlanned.body as PlanResponse;
	const confirmed = await sendUntilFinal(
		`/v1/plans/${otherPlan.planId}/confirm`,
		{ operator: 'cleo', number: 2, digest: otherPlan.digest },
		[one!]
	);
	assert.equal(confirmed.status, 200);
	const outdated = await sendUntilFinal(`/v1/plans/${planId}/confirm`, { operator: 'ben', number: 2, digest }, [two!]);
	const rejection = outdated.body as { code: string; changed: string[]; plan: PlanResponse };
	assert.deepEqual([outdated.status, rejection.code, rejection.changed], [409, 'base-moved', ['group:default']]);
	const newConfirmation = { operator: 'ben', number: 3, digest: rejection.plan.digest };
	const newlyConfirmed = await sendUntilFinal(`/v1/plans/${rejection.plan.planId}/confirm`, newConfirmation, [two!]);
	assert.equal(newlyConfirmed.status, 200);
	const resent = await sendUntilFinal(`/v1/plans/${rejection.plan.planId}/confirm`, newConfirmation, [one!]);
	assert.equal(resent.status, 200);
});
