/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Responses to HEAD, which have no body and thus no end to state. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { RawTarget } from './rawTarget.js';

const target = new RawTarget();

before(() => target.listen());

after(() => target.close());

test('a response to HEAD without a length does not end with its connection', async () => {
	const outcome = await target.attempt('HEAD', '\r\n');
	assert.deepEqual([outcome.type, outcome.type === 'answer' && outcome.endsWithConnection], ['answer', false]);
});
