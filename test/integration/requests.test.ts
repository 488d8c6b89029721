/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Requests under overload and crashes: slots are not exceeded, verdicts are correct, and a sibling takes over the targets. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { Agent, request } from 'undici';
import { LocalSystem } from '../local/localSystem.js';

const agent = new Agent({ connections: 200 });
let system: LocalSystem;

before(async () => {
	system = await LocalSystem.start({ lookupTtlMs: 1000, targetsPerService: 12 });
});

after(async () => {
	await agent.destroy();
	await system.stop();
});

interface Outcome {
	readonly status: number;
	readonly verdict: string;
	readonly requestId: string;
	readonly bodyRequestId: string;
}

async function send(url: string, path: string, headers: Record<string, string> = {}): Promise<Outcome> {
	const response = await request(url + path, {
		method: 'POST',
		dispatcher: agent,
		headers: { 'shelffield-group': 'growers', ...headers },
		body: 'x'
	});
	const body = (await response.body.json()) as { requestId: string };
	return {
		status: response.statusCode,
		verdict: String(response.headers['shelffield-verdict']),
		requestId: String(response.headers['shelffield-request-id']),
		bodyRequestId: body.requestId
	};
}

/** Checks the verdicts against the journals of the targets, and that no target exceeded its slots. */
async function checkJournals(outcomes: readonly Outcome[]): Promise<void> {
	const journals = await system.journals();
	const executedIds = new Set(journals.flatMap(journal => journal.runs.map(run => run.requestId)));
	for (const outcome of outcomes) {
		assert.equal(outcome.bodyRequestId, outcome.requestId, 'the response belongs to the request');
		if (outcome.verdict === 'not-run') {
			assert.ok(!executedIds.has(outcome.requestId), `${outcome.requestId} was reported as not-run but ran`);
		}
		if (outcome.verdict === 'ran') {
			assert.ok(executedIds.has(outcome.requestId));
		}
	}
	assert.deepEqual(
		journals.filter(journal => journal.overSlots > 0).map(journal => journal.name),
		[]
	);
}

/** Slots of all targets of the service `grower`. */
const SLOT_COUNT = 72;
const BURST_REQUESTS = 5 * SLOT_COUNT;
const BURST_DEADLINE_MS = 250;

/** Sends concurrent requests to all entry instances, with a deadline in milliseconds. */
function sendBurst(path: string, deadlineMs: number): Promise<Outcome[]> {
	const requests = Array.from({ length: BURST_REQUESTS }, (_unused, i) => {
		const entry = system.entries[i % system.entries.length]!;
		return send(entry.url, path, { 'shelffield-deadline-ms': String(deadlineMs) });
	});
	return Promise.all(requests);
}

/** Measures the time to forward a burst that needs no work at the targets, in milliseconds. */
async function measureForwardingMs(): Promise<number> {
	const startedAt = performance.now();
	await sendBurst('/s/grower/burst?workMs=0', 10000);
	return performance.now() - startedAt;
}

test('a burst of five times the slots gets complete responses or a correct not-run, and no slot limit is exceeded', async () => {
	// On a busy machine forwarding alone can take longer than the deadline, so the deadline grows with it.
	const forwardingMs = await measureForwardingMs();
	const deadlineMs = Math.round(Math.max(BURST_DEADLINE_MS, forwardingMs / 2));
	const outcomes = await sendBurst('/s/grower/burst?workMs=60', deadlineMs);
	await checkJournals(outcomes);
	const executedCount = outcomes.filter(outcome => outcome.verdict === 'ran').length;
	assert.ok(
		executedCount > 2 * SLOT_COUNT,
		`${executedCount} ran within ${deadlineMs} ms, ${forwardingMs.toFixed(0)} ms to forward them`
	);
	assert.ok(outcomes.some(outcome => outcome.verdict === 'not-run'));
});

test('when an entry instance is killed, its sibling takes over its targets', async () => {
	const victim = system.entries[0]!;
	const sibling = system.entries.find(entry => entry.hall === victim.hall && entry.name !== victim.name)!;
	await victim.process.kill();
	const hallTargets = system.targets.filter(item => item.hall === victim.hall && item.service === 'grower');
	const reachedTargets = new Set<string>();
	while (reachedTargets.size < hallTargets.length) {
		const response = await request(`${sibling.url}/s/grower/who`, { headers: { 'shelffield-group': 'growers' } });
		const body = (await response.body.json()) as { target?: string };
		if (body.target && hallTargets.some(item => item.name === body.target)) {
			reachedTargets.add(body.target);
		}
		await Promise.all(
			Array.from({ length: 20 }, () => send(sibling.url, '/s/grower/fill?workMs=20').catch(() => undefined))
		);
	}
	await checkJournals([]);
	await system.restart(victim);
});
