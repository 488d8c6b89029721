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
	let responses = 0;
	const waitRepeatedly = async (): Promise<void> => {
		await notifier.waitForChange(5000);
		responses++;
		void waitRepeatedly();
	};
	void waitRepeatedly();
	for (let i = 0; i < 200; i++) {
		notifier.scheduleNotification();
		t.mock.timers.tick(10);
		await Promise.resolve();
		await Promise.resolve();
	}
	assert.ok(responses >= 11 && responses <= 14, `${responses} responses to 200 changes in 2 s`);
});

test('without a change a call waits for the requested time', async t => {
	t.mock.timers.enable({ apis: ['setTimeout'] });
	const notifier = new ChangeNotifier();
	let hasReturned = false;
	void notifier.waitForChange(500).then(() => (hasReturned = true));
	t.mock.timers.tick(499);
	await Promise.resolve();
	assert.equal(hasReturned, false);
	t.mock.timers.tick(1);
	await Promise.resolve();
	assert.equal(hasReturned, true);
});
