/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Runs random schedules of faults on the protocol logic; `SHELFFIELD_SEED` replaces the fixed seed. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { AgreementCore } from '../common/agreementCore.js';
import { DEFAULT_TIMING, EntryKind, MemberRole, ReplicaRole } from '../common/agreementTypes.js';
import { AgreementModel } from './agreementModel.js';
import type { ModelStep } from './modelStep.js';

const SEED = Number(process.env['SHELFFIELD_SEED'] ?? 20261202);
const RUNS = Number(process.env['SHELFFIELD_RUNS'] ?? 500);
const STEPS = 150;

const arbitraryIndex = fc.nat({ max: 1000 });
const tick = fc.record({
	type: fc.constant('tick' as const),
	node: arbitraryIndex,
	ms: fc.integer({ min: 1, max: 400 })
});
const deliver = fc.record({ type: fc.constant('deliver' as const), message: arbitraryIndex, copy: fc.boolean() });
const drop = fc.record({ type: fc.constant('drop' as const), message: arbitraryIndex });
const propose = fc.record({ type: fc.constant('propose' as const), node: arbitraryIndex });
const crash = fc.record({ type: fc.constant('crash' as const), node: arbitraryIndex, beforeSync: fc.boolean() });
const restart = fc.record({ type: fc.constant('restart' as const), node: arbitraryIndex });
const loseDisk = fc.record({ type: fc.constant('loseDisk' as const), node: arbitraryIndex });
const freeze = fc.record({ type: fc.constant('freeze' as const), node: arbitraryIndex });
const breakDisk = fc.record({ type: fc.constant('breakDisk' as const), node: arbitraryIndex });
const repairDisk = fc.record({ type: fc.constant('repairDisk' as const), node: arbitraryIndex });
const compact = fc.record({ type: fc.constant('compact' as const), node: arbitraryIndex });
const isolate = fc.record({ type: fc.constant('isolate' as const), node: arbitraryIndex, oneWay: fc.boolean() });
const reconnect = fc.record({ type: fc.constant('reconnect' as const) });
const run = fc.record({ type: fc.constant('run' as const), ms: fc.integer({ min: 20, max: 2000 }) });
const join = fc.record({ type: fc.constant('join' as const), node: arbitraryIndex });

const commonSteps = [
	{ weight: 12, arbitrary: tick },
	{ weight: 30, arbitrary: deliver },
	{ weight: 4, arbitrary: drop },
	{ weight: 5, arbitrary: propose },
	{ weight: 2, arbitrary: crash },
	{ weight: 3, arbitrary: restart },
	{ weight: 1, arbitrary: freeze },
	{ weight: 1, arbitrary: compact },
	{ weight: 1, arbitrary: join },
	{ weight: 2, arbitrary: isolate },
	{ weight: 2, arbitrary: reconnect },
	{ weight: 6, arbitrary: run }
];
const steps = fc.array<ModelStep>(fc.oneof(...commonSteps), {
	minLength: 50,
	maxLength: STEPS
});
const stepsWithBrokenDisks = fc.array<ModelStep>(
	fc.oneof(...commonSteps, { weight: 3, arbitrary: breakDisk }, { weight: 3, arbitrary: repairDisk }),
	{ minLength: 50, maxLength: STEPS }
);
const stepsWithDiskLoss = fc.array<ModelStep>(fc.oneof(...commonSteps, { weight: 1, arbitrary: loseDisk }), {
	minLength: 50,
	maxLength: STEPS
});

for (const size of [3, 5, 9]) {
	test(`${size} replicas: no committed entry is lost or changed, and commits resume after the faults`, () => {
		fc.assert(
			fc.property(steps, schedule => {
				const model = new AgreementModel(size);
				schedule.forEach(step => model.step(step));
				assert.ok(model.heal(), 'a new command must be committed once the faults are over');
			}),
			{ seed: SEED, numRuns: Math.ceil(RUNS / size), endOnFailure: true }
		);
	});

	test(`${size} replicas whose disks take no writes for a while: no committed entry is lost or changed, and commits resume`, () => {
		fc.assert(
			fc.property(stepsWithBrokenDisks, schedule => {
				const model = new AgreementModel(size);
				schedule.forEach(step => model.step(step));
				assert.ok(model.heal(), 'a new command must be committed once the faults are over');
			}),
			{ seed: SEED, numRuns: Math.ceil(RUNS / size), endOnFailure: true }
		);
	});

	test(`${size} replicas that lose disks: no committed entry is lost or changed, though commits may stop`, () => {
		fc.assert(
			fc.property(stepsWithDiskLoss, schedule => {
				const model = new AgreementModel(size);
				schedule.forEach(step => model.step(step));
				model.heal();
			}),
			{ seed: SEED, numRuns: Math.ceil(RUNS / size), endOnFailure: true }
		);
	});
}

test('a replica that lost its disk becomes a voter once caught up, and another disk loss right after loses no entry', () => {
	for (const [first, second] of [
		[0, 1],
		[1, 2],
		[2, 0]
	]) {
		const model = new AgreementModel(3);
		model.step({ type: 'propose', node: 0 });
		model.step({ type: 'propose', node: 1 });
		model.step({ type: 'propose', node: 2 });
		model.heal();
		const before = model.committedCount;
		model.step({ type: 'loseDisk', node: first! });
		assert.ok(model.heal());
		assert.equal(model.currentVoterCount, 3);
		model.step({ type: 'loseDisk', node: second! });
		assert.ok(model.heal());
		assert.equal(model.currentVoterCount, 3);
		assert.ok(model.committedCount > before);
	}
});

test('after the loss of two of three disks nothing more is committed', () => {
	const model = new AgreementModel(3);
	model.step({ type: 'propose', node: 0 });
	model.heal();
	const before = model.committedCount;
	model.step({ type: 'loseDisk', node: 1 });
	model.step({ type: 'loseDisk', node: 2 });
	assert.equal(model.heal(), false);
	assert.equal(model.committedCount, before);
});

/** Creates one of three replicas after a restart, with two committed entries, `uptimeMs` after its process started. */
function createRestartedReplica(uptimeMs: number): AgreementCore {
	const members = ['n1', 'n2', 'n3'].map(id => ({ id, incarnation: 'i', address: id, role: MemberRole.Voter }));
	return new AgreementCore({
		identity: { id: 'n1', incarnation: 'i', address: 'n1' },
		timing: DEFAULT_TIMING,
		hardState: { term: 1 },
		log: {
			entries: [
				{ index: 1, term: 1, kind: EntryKind.Members, members },
				{ index: 2, term: 1, kind: EntryKind.Command, command: 'a' },
				{ index: 3, term: 1, kind: EntryKind.Command, command: 'b' }
			],
			commit: 2
		},
		random: () => 0,
		now: uptimeMs,
		startedAt: 0
	});
}

test('the first election timeout is counted from the start of the process, and pre-votes are retried sooner', () => {
	const core = createRestartedReplica(500);
	const requestsVotes = (now: number): boolean => core.tick(now).messages.some(message => message.type === 'vote');
	assert.equal(requestsVotes(DEFAULT_TIMING.electionMinMs), false);
	assert.equal(requestsVotes(DEFAULT_TIMING.electionMinMs + 200), true);
	assert.equal(requestsVotes(DEFAULT_TIMING.electionMinMs + 400), true);
	assert.equal(core.term, 1);
});

test('a replica that starts applies exactly the entries up to its persisted commit index', () => {
	const indices = createRestartedReplica(0)
		.tick(1)
		.committed.map(entry => entry.index);
	assert.deepEqual(indices, [1, 2]);
});

/** Guards against entry instances using an outdated table: a replica that lacks entries still receives heartbeats. */
test('a replica that receives heartbeats but lacks committed entries is not current', () => {
	const core = createRestartedReplica(0);
	const append = (prevIndex: number, prevTerm: number, commit: number, now: number, added: number[] = []): void => {
		const entries = added.map(index => ({ index, term: 2, kind: EntryKind.NoOperation as const }));
		const header = { from: 'n2', fromIncarnation: 'i', to: 'n1', toIncarnation: 'i', term: 2 };
		core.receive({ ...header, type: 'append', prevIndex, prevTerm, entries, commit, sentAt: now }, now);
	};
	append(3, 1, 4, 1000, [4]);
	assert.equal(core.contactAge(1000), 0);
	append(9, 2, 9, 3000);
	assert.equal(core.contactAge(3000), 2000);
	append(4, 2, 9, 3100);
	assert.equal(core.contactAge(3100), 2100, 'a heartbeat that matches its log does not count while more is committed');
	append(4, 2, 4, 3200);
	assert.equal(core.contactAge(3200), 2200, 'a delayed heartbeat with an older commit index does not count');
	append(4, 2, 9, 3300, [5, 6, 7, 8, 9]);
	assert.equal(core.contactAge(3300), 0);
});

/** Guards against stale reads after a restart of all replicas, when a new leader does not know what is committed yet. */
test('no replica is current before the leader has committed an entry of its own term', () => {
	const core = createRestartedReplica(0);
	const append = (prevIndex: number, prevTerm: number, commit: number, now: number, added: number[] = []): void => {
		const entries = added.map(index => ({ index, term: 2, kind: EntryKind.NoOperation as const }));
		const header = { from: 'n2', fromIncarnation: 'i', to: 'n1', toIncarnation: 'i', term: 2 };
		core.receive({ ...header, type: 'append', prevIndex, prevTerm, entries, commit, sentAt: now }, now);
	};
	append(3, 1, 2, 1000, [4]);
	assert.equal(core.contactAge(1000), Number.POSITIVE_INFINITY);
	append(4, 2, 3, 1100);
	assert.equal(core.contactAge(1100), Number.POSITIVE_INFINITY);
	append(4, 2, 4, 1200);
	assert.equal(core.contactAge(1200), 0);
	const leader = createRestartedReplica(0);
	elect(leader, 5000);
	assert.equal(leader.role, ReplicaRole.Leader);
	assert.equal(leader.contactAge(5000), Number.POSITIVE_INFINITY);
});

/** Makes one of three replicas the leader by the votes of another one. */
function elect(core: AgreementCore, at: number): void {
	core.tick(at);
	const header = { from: 'n2', fromIncarnation: 'i', to: 'n1', toIncarnation: '' };
	core.receive({ ...header, type: 'voteReply', pre: true, granted: true, term: 2 }, at);
	core.receive({ ...header, type: 'voteReply', pre: false, granted: true, term: 2 }, at);
	core.onPersisted(core.lastIndex, core.term, at);
}

test('after a suspension a leader has no lease until it has contact with a quorum again', () => {
	const core = createRestartedReplica(0);
	const electedAt = 5000;
	elect(core, electedAt);
	const acknowledge = (sentAt: number, now: number): void => {
		const header = { from: 'n2', fromIncarnation: 'i', to: 'n1', toIncarnation: '', term: 2 };
		core.receive({ ...header, type: 'appendReply', accepted: true, index: 4, sentAt }, now);
	};
	acknowledge(electedAt + 10, electedAt + 20);
	assert.equal(core.hasLease(electedAt + 100), true);
	const resumedAt = electedAt + 110;
	assert.equal(core.hasLease(resumedAt, resumedAt), false);
	acknowledge(electedAt + 105, resumedAt + 10);
	assert.equal(core.hasLease(resumedAt + 10, resumedAt), false, 'a message sent before the suspension does not count');
	acknowledge(resumedAt + 20, resumedAt + 30);
	assert.equal(core.hasLease(resumedAt + 30, resumedAt), true);
});
