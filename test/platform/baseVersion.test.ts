/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** An empty `If-Match` header must not be read as 0, which would make any document pass for the first one. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readBaseVersion } from '../../platform/baseVersion.js';
import { InvalidFieldError } from '../../platform/routeDocument.js';

test('a base version is a whole number, with or without quotes', () => {
	assert.equal(readBaseVersion('0'), 0);
	assert.equal(readBaseVersion(' 41 '), 41);
	assert.equal(readBaseVersion('"7"'), 7);
});

test('a header without a valid version is refused with the name of the field', () => {
	for (const header of [undefined, '', '""', 'three', '-1', '1.5', '1e3', '*', 'W/"3"', '9'.repeat(30)]) {
		assert.throws(
			() => readBaseVersion(header),
			(error: unknown) => error instanceof InvalidFieldError && error.field === 'If-Match',
			header
		);
	}
});
