/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Invalid heartbeats must be refused with the name of a field, and must never cause any other error. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { InvalidFieldError } from '../../platform/routeDocument.js';
import { readHeartbeat } from '../../platform/targetHeartbeat.js';

const VALID_HEARTBEAT = {
	born: 1767630000000,
	addr: '10.1.0.35:8144',
	info: { service: 'reads', version: 'v1', zone: 'hall-1', slots: 4 },
	status: { state: 'ready', seq: 7, cold_left: '1.5s' }
};
const arbitraryValue = fc.oneof(
	fc.constantFrom(undefined, null, '', 'x', -1, 1.5, 1e300, true, {}, [], [[]], Number.MAX_SAFE_INTEGER + 2),
	fc.jsonValue(),
	fc.string()
);

/** Returns the heartbeat, or the name of the field for which it was refused. */
function readOrField(text: string): ReturnType<typeof readHeartbeat> | string {
	try {
		return readHeartbeat('i-1', text);
	} catch (error) {
		assert.ok(error instanceof InvalidFieldError, String(error));
		assert.ok(error.field !== '' && error.allowed !== '');
		return error.field;
	}
}

test('a heartbeat is converted to the fleet form; without a start time, `bornAt` is 0', () => {
	const heartbeat = readOrField(JSON.stringify(VALID_HEARTBEAT));
	const description = {
		id: 'i-1',
		bornAt: VALID_HEARTBEAT.born,
		service: 'reads',
		address: VALID_HEARTBEAT.addr,
		hall: 'hall-1',
		version: 'v1',
		slots: 4
	};
	assert.deepEqual(heartbeat, { description, isLeaving: false, sequence: 7, coldLeftMs: 1500 });
	const minimal = readOrField(
		JSON.stringify({ ...VALID_HEARTBEAT, born: undefined, status: { state: 'draining', seq: 0 } })
	);
	assert.ok(typeof minimal !== 'string');
	assert.deepEqual([minimal.description.bornAt, minimal.isLeaving, minimal.coldLeftMs], [0, true, 0]);
});

test('arbitrary bytes, arbitrary values and truncated heartbeats give a valid heartbeat or the name of a refused field', () => {
	const anyPart = fc.constantFrom(...(['addr', 'info', 'status', 'born'] as const));
	const anyField = fc.constantFrom('service', 'zone', 'slots', 'state', 'seq', 'cold_left', 'version');
	const texts = fc.oneof(
		fc.string(),
		fc.uint8Array().map(bytes => Buffer.from(bytes).toString('utf8')),
		fc.jsonValue().map(value => JSON.stringify(value)),
		fc.nat(JSON.stringify(VALID_HEARTBEAT).length).map(end => JSON.stringify(VALID_HEARTBEAT).slice(0, end)),
		fc.tuple(anyPart, arbitraryValue).map(([part, value]) => JSON.stringify({ ...VALID_HEARTBEAT, [part]: value })),
		fc
			.tuple(fc.constantFrom('info' as const, 'status' as const), anyField, arbitraryValue)
			.map(([part, field, value]) =>
				JSON.stringify({ ...VALID_HEARTBEAT, [part]: { ...VALID_HEARTBEAT[part], [field]: value } })
			)
	);
	fc.assert(
		fc.property(texts, text => {
			const heartbeat = readOrField(text);
			if (typeof heartbeat !== 'string') {
				const { description, sequence, coldLeftMs } = heartbeat;
				assert.match(description.address, /^\d+\.\d+\.\d+\.\d+:\d+$/);
				assert.ok(description.service !== '' && description.hall !== '');
				assert.ok([description.bornAt, description.slots, sequence].every(Number.isSafeInteger));
				assert.ok(description.slots > 0 && sequence >= 0 && coldLeftMs >= 0 && Number.isFinite(coldLeftMs));
			}
		}),
		{ numRuns: 3000, seed: 36 }
	);
});

/** Guards against names that messages between instances can't have as a key. */
test('a heartbeat of a target or for a service that messages cannot name is refused', () => {
	const text = JSON.stringify(VALID_HEARTBEAT);
	assert.throws(() => readHeartbeat('__proto__', text), { field: 'id' });
	assert.equal(readOrField(text.replace('"reads"', '"__proto__"')), 'info.service');
});
