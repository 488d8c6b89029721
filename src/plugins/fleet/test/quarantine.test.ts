/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Counting of lost runs: correlated losses, eviction per team, cleared requests, and persistence. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { QuarantineView } from '../common/quarantineView.js';
import { LossEvidence } from '../common/lossEvidence.js';
import { RecentAnswers } from '../common/recentAnswers.js';
import { QuarantineState } from '../common/quarantineState.js';
import { type CountedLostRun, QuarantinePhase, type ReportedLostRun } from '../common/quarantineTypes.js';
import { RequestQuarantine } from '../common/requestQuarantine.js';

function run(digest: string, number: number, team = ''): CountedLostRun {
	return { digest, pathHash: digest.length, team, requestId: `r-${number}`, targetId: `t-${number}` };
}

function reportedRun(
	number: number,
	sentAt: number,
	endedAt: number,
	more: Partial<ReportedLostRun> = {}
): ReportedLostRun {
	return { ...run('d', number), wasSuspected: false, sentAgoMs: -sentAt, endedAgoMs: -endedAt, ...more };
}

/** Records a number of lost runs of one request. */
function recordRuns(quarantine: RequestQuarantine, digest: string, count: number, team = ''): void {
	for (let i = 1; i <= count; i++) {
		quarantine.recordRun(run(digest, i, team));
	}
}

test('a request is suspected after two lost runs and quarantined after three; a run reported again is not counted', () => {
	const quarantine = new RequestQuarantine();
	assert.equal(quarantine.recordRun(run('d', 1)), false);
	assert.equal(quarantine.recordRun(run('d', 1)), false);
	assert.equal(quarantine.phase('d'), QuarantinePhase.Clear);
	assert.equal(quarantine.recordRun(run('d', 2)), true);
	assert.equal(quarantine.phase('d'), QuarantinePhase.Suspected);
	assert.equal(quarantine.recordRun(run('d', 3)), true);
	assert.equal(quarantine.recordRun(run('d', 4)), false);
	assert.equal(quarantine.phase('d'), QuarantinePhase.Quarantined);
	assert.equal(quarantine.clear('d'), true);
	assert.equal(quarantine.phase('d'), QuarantinePhase.Clear);
});

/** Adds runs of one request to an evidence, one report after the other, and returns how many of them count. */
function countOf(runs: readonly ReportedLostRun[]): number {
	const evidence = new LossEvidence();
	runs.forEach(reported => evidence.add(reported, 0));
	return evidence.uncountedRuns('d', [], 9000).length;
}

test('targets that terminate together count once, in whichever order they are reported', () => {
	const together = [reportedRun(1, 0, 1000), reportedRun(2, 900, 1000)];
	assert.equal(countOf(together), 1);
	assert.equal(countOf([...together].reverse()), 1);
	const notNoticed = reportedRun(3, 1100, 1600);
	assert.equal(countOf([...together, notNoticed]), 1, 'sent when its sender may not have noticed the first loss');
	const later = reportedRun(4, 1500, 1900);
	assert.equal(countOf([...together, notNoticed, later]), 2);
	assert.equal(countOf([...together, notNoticed, later, later]), 2, 'reported again');
});

test('a run counts if it was certainly sent after the previous one: in the same attempt, or by an instance that knew of the suspicion', () => {
	const first = reportedRun(1, 0, 1000);
	const again = { requestId: 'r-1', afterTargetId: 't-1' };
	const together = reportedRun(2, 1001, 1002, again);
	assert.equal(countOf([first, together]), 1, 'two targets of one hall that terminate together');
	const next = reportedRun(3, 1001, 1080, again);
	assert.equal(countOf([first, together, next]), 2);
	assert.equal(countOf([first, together, next, reportedRun(4, 1100, 1180, { wasSuspected: true })]), 3);
});

test('a run whose target may have terminated together with that of the previous one does not count', () => {
	const first = reportedRun(1, 0, 1000);
	const abandoned = { wasSuspected: true, runningAgoMs: -990 };
	assert.equal(countOf([first, reportedRun(2, 900, 1400, abandoned)]), 1);
	assert.equal(countOf([first, reportedRun(2, 900, 1400, { wasSuspected: true, runningAgoMs: -1100 })]), 2);
});

test('runs that an earlier leader counted are counted on, and its simultaneous losses do not count again', () => {
	const evidence = new LossEvidence();
	evidence.restart(new Map([['d', 1]]), 2000);
	evidence.add(reportedRun(2, 900, 1000), 0);
	assert.deepEqual(evidence.uncountedRuns('d', [run('d', 1)], 9000), []);
	evidence.add(reportedRun(3, 2100, 2200), 0);
	assert.equal(evidence.uncountedRuns('d', [run('d', 1)], 9000).length, 1);
	evidence.recordAnswer('d', 2500);
	assert.deepEqual(evidence.uncountedRuns('d', [], 9000), []);
});

/** Runs that were lost together, one at each of some targets. */
function wave(targets: number, more: Partial<ReportedLostRun> = {}): ReportedLostRun[] {
	return Array.from({ length: targets }, (_, i) => reportedRun(i + 1, 900, 1000 + i, more));
}

/** Number of runs of request `d` that count at a time, with other runs reported first. */
function countAt(now: number, runs: readonly ReportedLostRun[], others: readonly ReportedLostRun[] = []): number {
	const evidence = new LossEvidence();
	[...others, ...runs].forEach(reported => evidence.add(reported, 0));
	return evidence.uncountedRuns('d', [], now).length;
}

test('targets that stop together under one unanswered request are several losses, which decide after a delay', () => {
	assert.equal(countAt(9000, wave(2)), 1);
	assert.equal(countAt(9000, wave(3)), 2);
	assert.equal(countAt(9000, wave(5)), 3);
	assert.equal(countAt(1100, wave(5)), 2);
	assert.equal(countAt(9000, wave(5, { answeredAgoMs: -700 })), 0, 'answered 200 ms before it was sent');
});

test('targets that stop together with others that did not run the request are one loss', () => {
	const others = [6, 7].map(i => ({ ...reportedRun(i, 800, 1000), digest: `other-${i}` }));
	assert.equal(countAt(9000, wave(5), others), 1);
});

test('a run does not count where a request with more stopped targets was running on the same target', () => {
	const times = [0, 2000, 4000, 6000];
	const fatalRuns = times.map((at, i) => ({ ...reportedRun(i + 1, at, at + 50), digest: 'fatal' }));
	const beside = times.slice(1).map((at, i) => reportedRun(i + 2, at - 100, at + 50));
	assert.equal(countAt(9000, beside), 3);
	assert.equal(countAt(9000, beside, fatalRuns), 0);
});

test('while two requests were lost with the same targets, the decisive run counts after a delay', () => {
	const runs = [0, 2000, 4000].map((at, i) => reportedRun(i + 1, at, at + 50));
	const others = runs.map(reported => ({ ...reported, digest: 'other' }));
	assert.equal(countAt(4100, runs), 3);
	assert.equal(countAt(4100, runs, others), 2);
	assert.equal(countAt(4800, runs, others), 3);
});

test('an answer that is reported late withdraws the runs sent before it', () => {
	const evidence = new LossEvidence();
	const runs = [0, 2000].map((at, i) => reportedRun(i + 1, at, at + 50));
	runs.forEach(reported => evidence.add(reported, 0));
	const counted = evidence.uncountedRuns('d', [], 9000);
	assert.equal(evidence.supports('d', counted), true);
	evidence.recordAnswer('d', 1000);
	assert.equal(evidence.supports('d', counted), false);
	assert.deepEqual(evidence.uncountedRuns('d', [], 9000), [run('d', 2)]);
});

test('answers are remembered for some seconds', () => {
	const answers = new RecentAnswers();
	answers.add('d', 10000);
	assert.equal(answers.answeredAt('d', 14900), 10000);
	assert.equal(answers.answeredAt('d', 15100), 10000);
	assert.equal(answers.answeredAt('d', 20200), undefined);
	answers.add('d', 30000);
	assert.equal(answers.answeredAt('d', 45000), undefined);
});

test('of very many losses that end one shortly after the other, a sequence remains', () => {
	const runs = Array.from({ length: 400 }, (_, i) => reportedRun(i, i * 10, i * 10 + 5));
	assert.ok(countOf(runs) >= 5);
});

test('requests of one team do not evict those of another, and quarantined requests outlast the others', () => {
	const quarantine = new RequestQuarantine();
	recordRuns(quarantine, 'quiet', 1, 'quiet');
	recordRuns(quarantine, 'quiet-suspected', 2, 'quiet');
	recordRuns(quarantine, 'quarantined', 3, 'loud');
	for (let i = 0; i < 3000; i++) {
		recordRuns(quarantine, `one-${i}`, 1, 'loud');
		recordRuns(quarantine, `two-${i}`, 2, 'loud');
	}
	assert.ok(quarantine.save().length <= 1024 + 128 + 128);
	assert.notEqual(quarantine.get('quiet'), undefined);
	assert.equal(quarantine.phase('quiet-suspected'), QuarantinePhase.Suspected);
	assert.equal(quarantine.phase('quarantined'), QuarantinePhase.Quarantined);
});

test('a restored state has the same requests and keeps counting', () => {
	const state = new QuarantineState();
	state.apply({ type: 'noteRuns', runs: [run('a', 1), run('b', 1), run('b', 2)] });
	const restored = new QuarantineState();
	restored.restore(JSON.parse(JSON.stringify(state.save())));
	assert.deepEqual(restored.snapshot, state.snapshot);
	restored.apply({ type: 'noteRuns', runs: [run('a', 2), run('b', 3)] });
	assert.deepEqual(
		restored.snapshot.records.map(({ digest, runs }) => [digest, runs.length]),
		[
			['a', 2],
			['b', 3]
		]
	);
	assert.equal(restored.snapshot.revision, 2);
});

test('an entry instance keeps the latest revision and reports cleared requests', () => {
	const view = new QuarantineView();
	const cleared: string[] = [];
	view.onDidClear(digest => cleared.push(digest));
	const record = {
		digest: 'd',
		pathHash: 5,
		team: '',
		runs: [1, 2, 3].map(n => ({ requestId: `r-${n}`, targetId: 't' }))
	};
	view.apply({ revision: 3, records: [record] });
	view.apply({ revision: 2, records: [] });
	assert.equal(view.phase('d'), QuarantinePhase.Quarantined);
	assert.deepEqual([view.mayContain(5), view.mayContain(6)], [true, false]);
	view.apply({ revision: 4, records: [] });
	assert.deepEqual([view.phase('d'), cleared, view.isEmpty], [QuarantinePhase.Clear, ['d'], true]);
});
