/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Crowds of clients with chunked bodies that do not end. */

import { test } from 'node:test';
import { CrowdTestSystem } from './crowdTestSystem.js';

const LARGE_CHUNK_BYTES = 60_000;
const ENDLESS_BYTES = 60_000;
const crowds = new CrowdTestSystem();
const { system, entry, control } = crowds;
const orderHead = ['POST /order/1 HTTP/1.1', 'Host: shop.example', 'Request-Id: crowd', 'Deadline-Ms: 30000'];

for (const [name, clients, bodyBytes, chunkBytes] of [
	['one byte', 40, 60_000, 1],
	['60,000 bytes', 400, 1_200_000, LARGE_CHUNK_BYTES],
	['60,000 bytes, 1,500 of them,', 1500, 300_000, LARGE_CHUNK_BYTES]
] as const) {
	test(`an entry instance outlives callers whose bodies come in chunks of ${name} and do not end`, () =>
		crowds.withstand(entry, { ...system.callerPort(entry), clients, bodyBytes, chunkBytes, head: orderHead }));
}

for (const [name, clients, rest] of [
	['heads', 1500, `X-Part: ${'x'.repeat(ENDLESS_BYTES)}`],
	['trailers', 400, `Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n${'X-Part: x\r\n'.repeat(ENDLESS_BYTES / 11)}`]
] as const) {
	test(`an entry instance outlives callers whose ${name} do not end`, () =>
		crowds.withstand(entry, {
			...system.callerPort(entry),
			clients,
			bodyBytes: 0,
			chunkBytes: 1,
			head: orderHead,
			rest
		}));
}

for (const [name, clients, bodyBytes, chunkBytes] of [
	['one byte', 16, 400_000, 1],
	['60,000 bytes', 16, 24_000_000, LARGE_CHUNK_BYTES]
] as const) {
	test(`a control instance outlives configurations that come in chunks of ${name} and do not end`, () =>
		crowds.withstand(control, {
			...system.controlPort(control),
			clients,
			bodyBytes,
			chunkBytes,
			head: ['PUT /api/config HTTP/1.1', `Host: ${control.ip}`, 'Content-Type: application/json', 'If-Match: 1'],
			fill: ' '
		}));
}
