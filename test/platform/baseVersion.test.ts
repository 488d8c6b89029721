/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A document that did not say on which version it is built counted as the first one: an empty header was read as 0. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readBaseVersion } from '../../platform/baseVersion.js';
import { RouteDocumentError } from '../../platform/routeDocument.js';

test('the version that a document is built on is a whole number, in quotes or not', () => {
	assert.equal(readBaseVersion('0'), 0);
	assert.equal(readBaseVersion(' 41 '), 41);
	assert.equal(readBaseVersion('"7"'), 7);
});

test('what says no version is refused by its field', () => {
	for (const header of [undefined, '', '""', 'three', '-1', '1.5', '1e3', '*', 'W/"3"', '9'.repeat(30)]) {
		assert.throws(
			() => readBaseVersion(header),
			(error: unknown) => error instanceof RouteDocumentError && error.field === 'If-Match',
			header
		);
	}
});
