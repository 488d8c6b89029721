/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The leader's account of the credits of one holder. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HolderAccount } from '../common/holderAccount.js';

test('credits that were spent before their reports count as issued, also beside others that were given back', () => {
	const account = new HolderAccount(
		{
			team: 't',
			received: 0,
			spent: 0,
			returned: 0,
			givenBack: 0,
			needed: 0,
			ahead: 0
		},
		1000
	);
	const report = (spent: number, returned: number, givenBack: number): void => {
		account.applyReport({ team: 't', received: 200, spent, returned, givenBack, needed: 0, ahead: 0 }, 1000);
	};
	account.grant(200, 1000);
	report(100, 0, 0);
	report(90, 100, 100);
	assert.equal(account.unused, 0);
	report(90, 110, 100);
	assert.equal(account.unused, 10);
});
