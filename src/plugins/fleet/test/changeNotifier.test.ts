/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Guards against one response to every entry instance per registration when many targets register at startup. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ChangeNotifier } from '../node/changeNotifier.js';

test('bursts of changes are batched, and none is delayed for long', async t => {
	t.mock.timers.enable({ apis: ['setTimeout'] });
	const notifier = new ChangeNotifier();
	let answers = 0;
	const ask = async (): Promise<void> => {
		await notifier.waitForChange(5000);
		answers++;
		void ask();
	};
	void ask();
	for (let i = 0; i < 200; i++) {
		notifier.scheduleNotification();
		t.mock.timers.tick(10);
		await Promise.resolve();
		await Promise.resolve();
	}
	assert.ok(answers >= 11 && answers <= 14, `${answers} answers to 200 changes in 2 s`);
});

test('without a change a call waits for the requested time', async t => {
	t.mock.timers.enable({ apis: ['setTimeout'] });
	const notifier = new ChangeNotifier();
	let isAnswered = false;
	void notifier.waitForChange(500).then(() => (isAnswered = true));
	t.mock.timers.tick(499);
	await Promise.resolve();
	assert.equal(isAnswered, false);
	t.mock.timers.tick(1);
	await Promise.resolve();
	assert.equal(isAnswered, true);
});
