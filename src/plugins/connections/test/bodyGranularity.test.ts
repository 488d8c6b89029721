/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Parts of bodies that are costly to parse. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MANY_LINE_ENDS, mayHoldManyChunks } from '../common/bodyGranularity.js';

test('a part with many chunks of one byte is costly, one of a large chunk is not', () => {
	assert.equal(mayHoldManyChunks(Buffer.from('1\r\nx\r\n'.repeat(MANY_LINE_ENDS / 2))), true);
	assert.equal(mayHoldManyChunks(Buffer.from('1\r\nx\r\n'.repeat(MANY_LINE_ENDS / 2 - 1))), false);
	assert.equal(mayHoldManyChunks(Buffer.from(`ea60\r\n${'x'.repeat(16000)}`)), false);
	assert.equal(mayHoldManyChunks(Buffer.alloc(0)), false);
});
