/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How the requests of a team at one entry instance share the calls for its credits. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LimitVerdict } from '../common/teamLimits.js';
import { TeamAdmissionQueue } from '../node/teamAdmissionQueue.js';

test('requests that come while a call is under way share the next one, and say what was not used', async () => {
	const calls: [number, number][] = [];
	const answers: ((answer: { granted: number; retryAfterMs: number }) => void)[] = [];
	const asker = new TeamAdmissionQueue((needed, returned) => {
		calls.push([needed, returned]);
		return new Promise(resolve => answers.push(resolve));
	});
	const first = asker.admit();
	const others = [asker.admit(), asker.admit(), asker.admit()];
	answers[0]!({ granted: 1, retryAfterMs: 0 });
	assert.equal((await first).verdict, LimitVerdict.Admitted);
	asker.giveBack();
	answers[1]!({ granted: 2, retryAfterMs: 150 });
	const verdicts = (await Promise.all(others)).map(({ verdict }) => verdict);
	assert.deepEqual(verdicts, [LimitVerdict.Admitted, LimitVerdict.Admitted, LimitVerdict.OverLimit]);
	const last = asker.admit();
	answers[2]!({ granted: 0, retryAfterMs: 0 });
	assert.equal((await last).verdict, LimitVerdict.Unknown);
	assert.deepEqual(calls, [
		[1, 0],
		[3, 0],
		[1, 1]
	]);
});
