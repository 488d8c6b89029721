/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Chunks that are copied together. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ChunkList } from '../common/chunkList.js';

test('any number of chunks is taken as the bytes that they had, once', () => {
	for (const count of [0, 1, 2, 256, 257, 10000]) {
		const list = new ChunkList();
		const bytes = Buffer.from(Array.from({ length: count }, (_unused, i) => i % 256));
		bytes.forEach((_byte, i) => list.add(bytes.subarray(i, i + 1)));
		assert.equal(list.bytes, count);
		assert.deepEqual([list.take().equals(bytes), list.bytes, list.take().length], [true, 0, 0]);
	}
});
