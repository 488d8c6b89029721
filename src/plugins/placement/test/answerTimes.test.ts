/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Choice among an object's targets by when they would answer. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TargetPhase } from '../../fleet/common/fleetTypes.js';
import { AnswerTimes, type AnswerTimesContext } from '../common/answerTimes.js';
import { RecentObjects } from '../common/recentObjects.js';
import { RegionLoad } from '../common/regionLoad.js';
import type { Candidate } from '../common/targetChoice.js';
import { ServiceSpeed } from '../common/targets/serviceSpeed.js';
import { TargetState } from '../common/targets/targetState.js';

const SLOTS = 6;
const NOW = 10000;

/** Creates two targets with the given load and work time factor, the first one first in the order of the object. */
function createTargets(...reports: readonly { readonly load: number; readonly factor: number }[]): Candidate[] {
	const [regionLoad, speed] = [new RegionLoad(), new ServiceSpeed()];
	return reports.map(({ load, factor }, i) => {
		const record = {
			id: `t${i}`,
			bornAt: 0,
			service: 's',
			address: '127.0.0.1:1',
			hall: 'near',
			version: 'v',
			slots: SLOTS,
			phase: TargetPhase.Serving,
			changedAt: 1,
			pacedSenders: []
		};
		const state = new TargetState(record.id, 0, SLOTS, regionLoad, speed);
		const running = Math.min(load, SLOTS);
		state.applyLoadReport({ running, waiting: load - running, slots: SLOTS, workTimeFactor: factor }, NOW);
		const known = { record, region: 'near', isSilent: false, coldUntil: 0, keptPart: 1, knownSince: 0 };
		return { known, state };
	});
}

function createTimes(changes: Partial<AnswerTimesContext> = {}): AnswerTimes {
	return new AnswerTimes({
		work: { hitMs: 200, missMs: 660 },
		region: 'near',
		objectiveLeftMs: 500,
		deadlineLeftMs: Number.POSITIVE_INFINITY,
		isRecent: () => false,
		now: NOW,
		...changes
	});
}

function select(targets: readonly Candidate[], changes?: Partial<AnswerTimesContext>): string | undefined {
	return createTimes(changes).select(targets, targets[0])?.known.record.id;
}

test('the estimate is the queue and the work at the speed of the target, and the way to another region', () => {
	const [target] = createTargets({ load: 11, factor: 2 });
	const near = createTimes().estimate(target!, true);
	assert.deepEqual(
		{ ...near, timeMs: Math.round(near.timeMs) },
		{ timeMs: 800, workTimeFactor: 2, isCached: true, extraWorkMs: 0 }
	);
	assert.equal(Math.round(createTimes({ region: 'far' }).estimate(target!, true).timeMs), 870);
	const miss = createTimes().estimate(target!, false);
	assert.equal(Math.round(miss.timeMs), 1720);
	assert.equal(miss.extraWorkMs, 920);
});

test('an object stays at its first target while that answers within the objective', () => {
	assert.equal(select(createTargets({ load: 8, factor: 1 }, { load: 0, factor: 1 })), 't0');
	assert.equal(select(createTargets({ load: 0, factor: 2.4 }, { load: 0, factor: 1 })), 't0');
});

test('an object stays at its first target beyond the objective if a cache miss elsewhere costs more', () => {
	assert.equal(select(createTargets({ load: 0, factor: 3 }, { load: 0, factor: 1 })), 't0');
	assert.equal(select(createTargets({ load: 0, factor: 7 }, { load: 0, factor: 1 })), 't1');
	assert.equal(select(createTargets({ load: 24, factor: 2 }, { load: 0, factor: 1 })), 't1');
});

test('the objective counts from the arrival of the request', () => {
	const targets = createTargets({ load: 0, factor: 6 }, { load: 0, factor: 1 });
	assert.equal(select(targets, { objectiveLeftMs: 1300 }), 't0');
	assert.equal(select(targets, { objectiveLeftMs: 1000 }), 't1');
});

test('of two targets that have the object cached the one that answers first is selected', () => {
	assert.equal(select(createTargets({ load: 0, factor: 2.4 }, { load: 0, factor: 1 }), { isRecent: () => true }), 't1');
	assert.equal(select(createTargets({ load: 0, factor: 1 }, { load: 0, factor: 1 }), { isRecent: () => true }), 't0');
});

test('targets that have been slow for long come last, unless all are', () => {
	const [slow, usual] = createTargets({ load: 0, factor: 3 }, { load: 0, factor: 1 }) as [Candidate, Candidate];
	const order = (now: number): string[] =>
		createTimes({ now })
			.orderByLastingSpeed([slow, usual])
			.map(({ known }) => known.record.id);
	assert.deepEqual(order(NOW), ['t0', 't1']);
	for (let now = NOW; now <= NOW + 1400; now += 700) {
		slow.state.speed.record(3, now);
		usual.state.speed.record(1, now);
		usual.state.speed.record(1, now);
	}
	assert.deepEqual(order(NOW + 1400), ['t1', 't0']);
	assert.deepEqual(order(NOW + 8000), ['t0', 't1'], 'gets a request that tells its speed');
});

test('targets of recent objects are forgotten after a while, and their number is bounded', () => {
	const recent = new RecentObjects();
	recent.record('o', 't', 0);
	assert.equal(recent.has('o', 't', 10000), true);
	assert.equal(recent.has('o', 't', 10001), false);
	assert.equal(recent.has('o', 't2', 0), false);
	for (let i = 0; i < 1024; i++) {
		recent.record(`o${i}`, 't', 1);
	}
	assert.equal(recent.has('o', 't', 1), false);
	assert.equal(recent.has('o0', 't', 1), true);
});
