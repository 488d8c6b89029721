/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Crowds of clients at the ports that instances have for each other. */

import { test } from 'node:test';
import { CrowdTestSystem } from './crowdTestSystem.js';

const LARGE_CHUNK_BYTES = 60_000;
const SILENT_CONNECTIONS = 6000;
const crowds = new CrowdTestSystem();
const { system, entry, control } = crowds;

for (const instance of [control, entry]) {
	const name = instance.kind === 'entry' ? 'an entry instance' : 'a control instance';
	const port = system.peerPort(instance);

	for (const [chunks, clients, bodyBytes, chunkBytes] of [
		['one byte', 16, 150_000, 1],
		['60,000 bytes', 16, 24_000_000, LARGE_CHUNK_BYTES],
		['60,000 bytes, 700 of them,', 700, 600_000, LARGE_CHUNK_BYTES]
	] as const) {
		test(`${name} outlives messages of peers that come in chunks of ${chunks} and do not end`, () =>
			crowds.withstand(instance, {
				...port,
				clients,
				bodyBytes,
				chunkBytes,
				head: ['POST /fleet/report HTTP/1.1', `Host: ${instance.ip}`]
			}));
	}

	test(`${name} outlives connections to its peer port that say nothing`, () =>
		crowds.withstand(instance, { ...port, clients: SILENT_CONNECTIONS, bodyBytes: 0, chunkBytes: 1, head: [] }));
}
