/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Messages between processes as bytes. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeMessage, encodeMessage } from '../node/messageCoding.js';

function sightings(count: number): object[] {
	return Array.from({ length: count }, (_unused, i) => ({
		id: `target-${i}`,
		sequence: i,
		ageMs: 12.5,
		coldLeftMs: 0
	}));
}

test('a message is read as it was written, deflated or not', () => {
	for (const message of [{ text: 'a' }, { entries: sightings(400) }]) {
		const { body, headers } = encodeMessage(message);
		assert.equal(headers['Content-Length'], String(body.length));
		assert.deepEqual(decodeMessage(body, headers['Content-Encoding']), message);
	}
});

test('a list is sent in a third of its bytes, a short message as it is', () => {
	const plainBytes = JSON.stringify(sightings(400)).length;
	const { body, headers } = encodeMessage(sightings(400));
	assert.equal(headers['Content-Encoding'], 'deflate');
	assert.ok(body.length < plainBytes / 3, `${body.length} of ${plainBytes}`);
	assert.equal(encodeMessage({ text: 'a' }).headers['Content-Encoding'], undefined);
});

test('bytes that are no message are refused', () => {
	const { body } = encodeMessage(sightings(400));
	assert.throws(() => decodeMessage(body.subarray(0, 100), 'deflate'));
	assert.throws(() => decodeMessage(Buffer.from([0xc1]), undefined));
});
