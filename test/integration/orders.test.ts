/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Orders are executed at most once under lost responses, crashes and loss of the quorum. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { request } from 'undici';
import { LocalSystem } from '../local/localSystem.js';

interface OrderResponse {
	readonly status: number;
	readonly verdict: string;
	readonly replayed: boolean;
	readonly body: { readonly requestId?: string; readonly reason?: string };
}

let system: LocalSystem;
const today = new Date().toISOString().slice(0, 10);

before(async () => {
	system = await LocalSystem.start({ lookupTtlMs: 1000, targetsPerService: 6 });
});

after(() => system.stop());

async function sendOrder(
	entry: number,
	key: string,
	path = '/s/grower/dose',
	signal?: AbortSignal
): Promise<OrderResponse> {
	const response = await request(system.entries[entry]!.url + path, {
		method: 'POST',
		headers: { 'shelffield-group': 'growers', 'shelffield-order-key': key },
		body: 'dose 5',
		signal
	});
	return {
		status: response.statusCode,
		verdict: String(response.headers['shelffield-verdict']),
		replayed: response.headers['shelffield-replayed'] !== undefined,
		body: (await response.body.json()) as OrderResponse['body']
	};
}

async function countRuns(key: string): Promise<number> {
	const journals = await system.journals();
	return journals.flatMap(journal => journal.runs).filter(run => run.orderKey === key).length;
}

test('an order resent in other data halls runs once and gets the recorded response', async () => {
	const key = `${today}-resent`;
	const first = await sendOrder(0, key);
	assert.equal(first.verdict, 'ran');
	for (const entry of [1, 3, 8]) {
		let again = await sendOrder(entry, key);
		while (again.body.reason === 'order-in-progress') {
			again = await sendOrder(entry, key);
		}
		assert.equal(again.verdict, 'ran');
		assert.ok(again.replayed);
		assert.deepEqual(again.body, first.body);
	}
	assert.equal(await countRuns(key), 1);
});

test('an order sent twelve times concurrently runs once', async () => {
	const key = `${today}-raced`;
	const responses = await Promise.all(
		Array.from({ length: 12 }, (_unused, i) => sendOrder(i % 9, key, '/s/grower/race?workMs=50'))
	);
	assert.equal(await countRuns(key), 1);
	assert.ok(responses.every(response => response.verdict === 'ran' || response.verdict === 'may-have-run'));
});

test('a different request with the same key, an outdated key and an invalid key are rejected with their reasons', async () => {
	const key = `${today}-conflict`;
	const first = await sendOrder(0, key);
	assert.equal(first.verdict, 'ran', JSON.stringify(first));
	const conflict = await sendOrder(1, key, '/s/grower/other');
	assert.deepEqual([conflict.status, conflict.verdict, conflict.body.reason], [422, 'not-run', 'order-key-conflict']);
	const outdated = await sendOrder(1, '2020-01-01-old');
	assert.deepEqual([outdated.status, outdated.verdict, outdated.body.reason], [422, 'not-run', 'order-key-too-old']);
	const invalid = await sendOrder(1, 'no-date');
	assert.deepEqual([invalid.status, invalid.verdict, invalid.body.reason], [400, 'not-run', 'bad-request']);
});

test('an order is not executed again after the claiming entry instance is killed during its run', async () => {
	const key = `${today}-killed`;
	let earlyResponse: OrderResponse | undefined;
	const firstAttempt = sendOrder(0, key, '/s/grower/kill?workMs=400').then(
		response => (earlyResponse = response),
		() => undefined
	);
	while ((await countRuns(key)) === 0) {
		assert.equal(earlyResponse, undefined, JSON.stringify(earlyResponse));
		await new Promise(resolve => setTimeout(resolve, 10));
	}
	await system.entries[0]!.process.kill();
	await firstAttempt;
	const again = await sendOrder(1, key, '/s/grower/kill?workMs=400');
	assert.equal(again.verdict, 'may-have-run');
	assert.equal(await countRuns(key), 1);
	await system.restart(system.entries[0]!);
});

test('without a quorum orders are rejected as not-run and other requests are served; with a quorum orders run again', async () => {
	const leader = await system.leader();
	const others = system.controls.filter(control => control !== leader);
	await Promise.all(others.map(control => control.process.kill()));
	const key = `${today}-no-quorum`;
	const rejected = await sendOrder(2, key);
	assert.deepEqual([rejected.status, rejected.verdict, rejected.body.reason], [503, 'not-run', 'no-quorum']);
	assert.equal(await countRuns(key), 0);
	const plain = await request(`${system.entries[2]!.url}/s/grower/plain`, {
		headers: { 'shelffield-group': 'growers' }
	});
	assert.equal(plain.statusCode, 200);
	await plain.body.dump();
	await Promise.all(others.map(control => system.restart(control)));
	await system.leader();
	let response = await sendOrder(2, `${today}-quorum-back`);
	while (response.body.reason === 'no-quorum') {
		response = await sendOrder(2, `${today}-quorum-back`);
	}
	assert.equal(response.verdict, 'ran');
});
