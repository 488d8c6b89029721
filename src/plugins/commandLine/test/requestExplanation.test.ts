/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A request told from log lines, as they stand in a file or behind another program's stamp. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { explainRequest } from '../common/requestExplanation.js';

const LINE = JSON.stringify({
	time: '2026-01-01T00:00:00.000Z',
	instance: 'entry-1',
	message: 'request',
	requestId: 'r-1',
	route: 'reads',
	service: 's',
	end: 'refused',
	status: 503,
	reason: 'no-capacity',
	heldMs: 12,
	remainingMs: 900,
	viewAgeMs: 40,
	tableVersion: 7,
	attempts: [
		{ target: 't-1', region: 'r', atMs: 1, load: 3, slots: 4, isCold: true, outcome: 'not-run: full', tookMs: 9 }
	]
});

test('a request is told with its route, its attempts and its end', () => {
	const told = explainRequest(['no line', `  12.5 entry-1 ${LINE}`, '{"broken'], 'r-1');
	assert.match(told[0]!, /entry-1: refused 503 no-capacity/);
	assert.match(told.join('\n'), /attempt 1 after 1 ms: target t-1 .* cold; not-run: full after 9 ms/);
});

test('an attempt says which target its object belongs to, where that one wanted rest', () => {
	const attempt = {
		target: 't-2',
		region: 'r',
		passedOver: { target: 't-1', restLeftMs: 1200 },
		outcome: 'answer: 200'
	};
	const line = JSON.stringify({ message: 'request', requestId: 'r-3', attempts: [attempt] });
	assert.match(explainRequest([line], 'r-3').join('\n'), /target t-1 wanted 1200 ms more of rest/);
});

test('of another request nothing is told', () => {
	assert.deepEqual(explainRequest([LINE], 'r-2'), []);
});
