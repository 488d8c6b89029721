/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Tests for the description of a request from log lines, plain ones or with a prefix added by another program. */

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

test('describes the outcome and the attempts of a request', () => {
	const explanation = explainRequest(['no line', `  12.5 entry-1 ${LINE}`, '{"broken'], 'r-1');
	assert.match(explanation[0]!, /entry-1: refused 503 no-capacity/);
	assert.match(explanation.join('\n'), /attempt 1 after 1 ms: target t-1 .* cold; not-run: full after 9 ms/);
});

test('an attempt names the preferred target of the object if that was skipped because of backoff', () => {
	const attempt = {
		target: 't-2',
		region: 'r',
		passedOver: { target: 't-1', restLeftMs: 1200 },
		outcome: 'answer: 200'
	};
	const line = JSON.stringify({ message: 'request', requestId: 'r-3', attempts: [attempt] });
	assert.match(explainRequest([line], 'r-3').join('\n'), /target t-1 was backing off for another 1200 ms/);
});

test('other requests are not described', () => {
	assert.deepEqual(explainRequest([LINE], 'r-2'), []);
});
