/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Callers that open connections and say nothing on them. */

import { test } from 'node:test';
import { CrowdTestSystem } from './crowdTestSystem.js';

const SILENT_CONNECTIONS = 6000;
const crowds = new CrowdTestSystem();
const { system, entry } = crowds;

test('an entry instance serves others while callers keep connections open and say nothing', () =>
	crowds.withstand(entry, {
		...system.callerPort(entry),
		clients: SILENT_CONNECTIONS,
		bodyBytes: 0,
		chunkBytes: 1,
		head: []
	}));
