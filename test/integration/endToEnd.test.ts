/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** End-to-end path with real processes: look-up, request, intent, plan, confirmation, shift. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { request } from 'undici';
import { LocalSystem } from '../local/localSystem.js';

interface LookupResponse {
	readonly revision: number;
	readonly ttlSeconds: number;
	readonly entries: { instance: string; region: string; url: string }[];
}

let system: LocalSystem;

before(async () => {
	system = await LocalSystem.start({
		lookupTtlMs: 1000,
		groupSettings: { capPermille: 500, capWindowMs: 200 }
	});
});

after(() => system.stop());

async function lookUp(client: string, group = 'growers'): Promise<LookupResponse> {
	const url = `${system.entries[0]!.url}/v1/entries?service=grower&group=${group}&client=${client}`;
	const response = await request(url);
	assert.equal(response.statusCode, 200);
	return (await response.body.json()) as LookupResponse;
}

test('a look-up returns all entry instances, best first, and can be cached', async () => {
	const url = `${system.entries[0]!.url}/v1/entries?service=grower&group=growers&client=10.1.2.3`;
	const response = await request(url);
	const body = (await response.body.json()) as LookupResponse;
	assert.equal(body.entries.length, 9);
	assert.equal(body.entries[0]!.region, system.entries[0]!.region);
	assert.equal(response.headers['cache-control'], `max-age=${body.ttlSeconds}`);
	const again = await request(url, { headers: { 'if-none-match': String(response.headers['etag']) } });
	assert.equal(again.statusCode, 304);
	await again.body.dump();
});

test('a request runs at a target and its response is passed on complete', async () => {
	const response = await request(`${system.entries[2]!.url}/s/grower/readings?x=1`, {
		method: 'POST',
		headers: { 'shelffield-group': 'growers' },
		body: 'hello'
	});
	const body = (await response.body.json()) as Record<string, string>;
	assert.equal(response.statusCode, 200);
	assert.equal(response.headers['shelffield-verdict'], 'ran');
	assert.equal(body['method'], 'POST');
	assert.equal(body['path'], '/readings?x=1');
	assert.equal(body['requestId'], response.headers['shelffield-request-id']);
});

test('an intent is planned, confirmed and in force at all instances, and clients move in stages', async () => {
	const control = system.controls[1]!;
	const intent = { kind: 'prefer', group: 'growers', region: 'south' };
	const planned = await system.sendOperatorRequest(control, 'POST', '/v1/intents', {
		operator: 'ana',
		number: 1,
		intent
	});
	assert.equal(planned.status, 200, JSON.stringify(planned.body));
	const plan = planned.body as { planId: string; digest: string; stages: unknown[] };
	assert.equal(plan.stages.length, 2);
	const confirmation = { operator: 'ana', number: 2, digest: plan.digest };
	const confirmed = await system.sendOperatorRequest(control, 'POST', `/v1/plans/${plan.planId}/confirm`, confirmation);
	assert.equal(confirmed.status, 200, JSON.stringify(confirmed.body));
	const { inForce } = confirmed.body as { inForce: { count: number; of: number; missing: string[] } };
	assert.deepEqual(inForce, { count: 9, of: 9, missing: [] });
	for (;;) {
		const record = await system.sendOperatorRequest(control, 'GET', `/v1/plans/${plan.planId}`);
		if ((record.body as { status: string }).status === 'done') {
			break;
		}
		await new Promise(resolve => setTimeout(resolve, 50));
	}
	for (const client of ['10.0.0.1', '10.9.0.1', '172.16.5.5']) {
		assert.equal((await lookUp(client)).entries[0]!.region, 'south');
	}
	assert.equal((await lookUp('10.0.0.1', 'default')).entries[0]!.region, system.entries[0]!.region);
});
