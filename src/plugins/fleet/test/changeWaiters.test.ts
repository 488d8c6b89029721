/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The start of a fleet: hundreds of targets register within two seconds while all entry instances wait for changes. Told one by
 * one, each registration was an answer to every entry instance.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ChangeWaiters } from '../node/changeWaiters.js';

test('changes that come close together are told together, and none is kept back for long', async t => {
	t.mock.timers.enable({ apis: ['setTimeout'] });
	const waiters = new ChangeWaiters();
	let answers = 0;
	const ask = async (): Promise<void> => {
		await waiters.wait(5000);
		answers++;
		void ask();
	};
	void ask();
	for (let i = 0; i < 200; i++) {
		waiters.noteChange();
		t.mock.timers.tick(10);
		await Promise.resolve();
		await Promise.resolve();
	}
	assert.ok(answers >= 11 && answers <= 14, `${answers} answers to 200 changes in 2 s`);
});

test('without a change a call waits as long as it asked for', async t => {
	t.mock.timers.enable({ apis: ['setTimeout'] });
	const waiters = new ChangeWaiters();
	let isAnswered = false;
	void waiters.wait(500).then(() => (isAnswered = true));
	t.mock.timers.tick(499);
	await Promise.resolve();
	assert.equal(isAnswered, false);
	t.mock.timers.tick(1);
	await Promise.resolve();
	assert.equal(isAnswered, true);
});
