/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Encoding and decoding of messages between processes. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeMessage, encodeMessage } from '../node/messageCodec.js';

function createHeartbeats(count: number): object[] {
	return Array.from({ length: count }, (_unused, i) => ({
		id: `target-${i}`,
		sequence: i,
		ageMs: 12.5,
		coldLeftMs: 0
	}));
}

test('decoding an encoded message restores it, deflated or not', () => {
	for (const message of [{ text: 'a' }, { entries: createHeartbeats(400) }]) {
		const { body, headers } = encodeMessage(message);
		assert.equal(headers['Content-Length'], String(body.length));
		assert.deepEqual(decodeMessage(body, headers['Content-Encoding']), message);
	}
});

test('a list is deflated to less than a third of its JSON size, a short message is not deflated', () => {
	const plainBytes = JSON.stringify(createHeartbeats(400)).length;
	const { body, headers } = encodeMessage(createHeartbeats(400));
	assert.equal(headers['Content-Encoding'], 'deflate');
	assert.ok(body.length < plainBytes / 3, `${body.length} of ${plainBytes}`);
	assert.equal(encodeMessage({ text: 'a' }).headers['Content-Encoding'], undefined);
});

test('decoding malformed bytes throws', () => {
	const { body } = encodeMessage(createHeartbeats(400));
	assert.throws(() => decodeMessage(body.subarray(0, 100), 'deflate'));
	assert.throws(() => decodeMessage(Buffer.from([0xc1]), undefined));
});
