/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Fair queue, admission control and retry budget. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AdmissionControl } from '../common/admissionControl.js';
import { FairQueue } from '../common/fairQueue.js';
import { RetryBudget } from '../common/retryBudget.js';

const WEIGHTS: Readonly<Record<string, number>> = { heavy: 300, light: 100 };

function newQueue(): { queue: FairQueue; add: (group: string, deadline: number) => void; next: () => string } {
	const names = new Map<unknown, string>();
	const queue = new FairQueue(group => WEIGHTS[group]!);
	return {
		queue,
		add: (group, deadline) => {
			const run = async (): Promise<void> => undefined;
			names.set(run, `${group}@${deadline}`);
			queue.enqueue(run, { group, deadline, isAbandoned: () => false });
		},
		next: () => names.get(queue.dequeue())!
	};
}

test('two groups with queued requests at all times are served in proportion to their weights, within 3 %', () => {
	const { add, next } = newQueue();
	for (let i = 0; i < 1000; i++) {
		add('heavy', i);
		add('light', i);
	}
	const served = Array.from({ length: 800 }, next).filter(name => name.startsWith('heavy')).length;
	assert.ok(Math.abs(served / 800 - 0.75) < 0.03 * 0.75, `${served} of 800`);
});

test('other groups use the share of an idle group until its next request', () => {
	const { add, next } = newQueue();
	for (let i = 0; i < 100; i++) {
		add('light', i);
	}
	for (let i = 0; i < 50; i++) {
		assert.match(next(), /^light/);
	}
	add('heavy', 1);
	assert.ok([next(), next()].includes('heavy@1'));
});

test('within a group the request with the earliest deadline is served first', () => {
	const { add, next } = newQueue();
	add('light', 30);
	add('light', 10);
	add('light', 20);
	assert.deepEqual([next(), next(), next()], ['light@10', 'light@20', 'light@30']);
});

test('a request that cannot complete before its deadline is refused at once, with a retry delay', () => {
	const admission = new AdmissionControl(100, 50);
	const input = { now: 0, deadline: 1000, queuedInGroup: 0, queuedTotal: 1, slotShare: 1, slots: 2, freeSlots: 0 };
	assert.equal(admission.decide(input).kind, 'admit');
	const late = admission.decide({ ...input, queuedInGroup: 50 });
	assert.ok(late.kind === 'refuse' && late.cause === 'deadline' && late.retryAfterMs >= 1000);
	const full = admission.decide({ ...input, queuedTotal: 100 });
	assert.ok(full.kind === 'refuse' && full.cause === 'queue-full');
	const none = admission.decide({ ...input, slots: 0 });
	assert.ok(none.kind === 'refuse' && none.cause === 'no-slots');
});

test('if every first attempt fails, the retry budget limits the attempts to 1.1 times the first attempts plus a small burst', () => {
	const budget = new RetryBudget(0.1);
	let retries = 0;
	for (let i = 0; i < 10000; i++) {
		budget.recordFirstAttempt();
		retries += budget.tryTake() ? 1 : 0;
	}
	assert.ok(retries <= 1010 && retries >= 990, `${retries} retries`);
});
