/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * A target may restart under its id, and then numbers its heartbeats anew. Guards against control instances that ignore these heartbeats as
 * stale or never use a removed id again, and against malformed heartbeats that register targets.
 */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { PlatformTestSystem, createConfigDocument, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/read/', kind: 'safe', service: 'reads' }] as const;
/** Start times of two incarnations of the target, as Unix milliseconds. */
const FIRST_INCARNATION_MS = 1767630000000;
const SECOND_INCARNATION_MS = 1767630009000;
const system = new PlatformTestSystem(3, 1);
const [entry] = system.entries as [(typeof system.entries)[0]];
const target = new TestTarget({
	id: 'i-1',
	host: system.targetHost(1),
	port: 8080,
	slots: 4,
	workMs: 5,
	paddingBytes: 20
});

interface JsonObject {
	readonly [field: string]: unknown;
}

function createHeartbeat(born: number, seq: number, state = 'ready'): JsonObject {
	const info = { service: 'reads', version: 'v1', zone: 'hall-1', slots: 4 };
	return { born, addr: target.address, info, status: { state, seq, cold_left: '0ms' } };
}

/** Sends a heartbeat, or other text, for a target; returns the status and, for an invalid one, the rejected field. */
async function sendHeartbeat(
	id: string,
	heartbeat: JsonObject | string,
	control = system.controls[0]!
): Promise<[number, string?]> {
	const body = typeof heartbeat === 'string' ? heartbeat : JSON.stringify(heartbeat);
	const response = await system.callControl(control, 'PUT', `/api/instances/${id}`, body);
	return [response.status, (JSON.parse(response.body) as { field?: string }).field];
}

async function waitUntilAccepted(heartbeat: JsonObject): Promise<void> {
	await waitFor('a heartbeat is accepted', async () =>
		(await sendHeartbeat('i-1', heartbeat))[0] === 200 ? true : undefined
	);
}

async function requestStatus(): Promise<number> {
	return (await system.request(entry, 'GET', '/read/1')).status;
}

async function waitUntilServed(): Promise<void> {
	await waitFor('requests are served', async () => ((await requestStatus()) === 200 ? true : undefined), 6000);
}

before(async () => {
	await target.listen();
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	await waitUntilAccepted(createHeartbeat(FIRST_INCARNATION_MS, 5000));
	await waitUntilServed();
});

after(async () => {
	await system.stopAll();
	target.crash();
});

test('a target that restarts under its id serves again, and late heartbeats of its earlier incarnation change nothing', async () => {
	const removed = await system.callControl(system.controls[0]!, 'DELETE', '/api/instances/i-1');
	assert.equal(removed.status, 200);
	await waitFor('no requests are sent to the target', async () => ((await requestStatus()) === 503 ? true : undefined));
	await waitUntilAccepted(createHeartbeat(SECOND_INCARNATION_MS, 1));
	await waitUntilServed();
	for (const control of system.controls) {
		await sendHeartbeat('i-1', createHeartbeat(FIRST_INCARNATION_MS, 5001, 'draining'), control);
		await sendHeartbeat(
			'i-1',
			{ ...createHeartbeat(FIRST_INCARNATION_MS, 5002), addr: system.targetHost(9) + ':8080' },
			control
		);
	}
	await waitUntilAccepted(createHeartbeat(SECOND_INCARNATION_MS, 2));
	for (let i = 0; i < 20; i++) {
		assert.equal(await requestStatus(), 200);
	}
});

test('a heartbeat with missing or invalid fields is rejected, and valid ones of its id stay in effect', async () => {
	const validHeartbeat = createHeartbeat(SECOND_INCARNATION_MS, 10);
	const info = validHeartbeat['info'] as JsonObject;
	const status = validHeartbeat['status'] as JsonObject;
	const invalidHeartbeats: readonly (readonly [string, JsonObject | string])[] = [
		['body', '{"addr":'],
		['body', '[]'],
		['body', 'null'],
		['addr', { ...validHeartbeat, addr: 'nowhere' }],
		['addr', { ...validHeartbeat, addr: 7 }],
		['info', { ...validHeartbeat, info: null }],
		['info.service', { ...validHeartbeat, info: { ...info, service: '' } }],
		['info.zone', { ...validHeartbeat, info: { ...info, zone: undefined } }],
		['info.slots', { ...validHeartbeat, info: { ...info, slots: 'many' } }],
		['info.slots', { ...validHeartbeat, info: { ...info, slots: -1 } }],
		['status.state', { ...validHeartbeat, status: { ...status, state: 'resting' } }],
		['status.seq', { ...validHeartbeat, status: { ...status, seq: 1.5 } }],
		['status.seq', { ...validHeartbeat, status: { ...status, seq: '11' } }],
		['status.cold_left', { ...validHeartbeat, status: { ...status, cold_left: 'soon' } }],
		['born', { ...validHeartbeat, born: 'today' }],
		['born', { ...validHeartbeat, born: -1 }]
	];
	for (const [field, heartbeat] of invalidHeartbeats) {
		assert.deepEqual(await sendHeartbeat('i-1', heartbeat), [400, field], JSON.stringify(heartbeat));
		assert.deepEqual(await sendHeartbeat('i-other', heartbeat), [400, field], JSON.stringify(heartbeat));
	}
	assert.deepEqual(
		await sendHeartbeat('i-1', {
			...createHeartbeat(SECOND_INCARNATION_MS + 9000, 1),
			info: { ...info, service: 'writes' }
		}),
		[200, undefined]
	);
	await waitUntilAccepted(createHeartbeat(SECOND_INCARNATION_MS, 11));
	for (let i = 0; i < 20; i++) {
		assert.equal(await requestStatus(), 200);
	}
});
