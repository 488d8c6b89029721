/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Guards against a count of lost runs that depends on the order in which instances report them, and against releases that are judged by a
 * replica that lags behind its leader.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IAgreement } from '../../agreement/common/agreement.js';
import type { PartCommand } from '../../agreement/common/replicatedState.js';
import { FleetUnavailableError } from '../common/fleetControl.js';
import type { ReportRunsRequest } from '../common/fleetWire.js';
import { QuarantineState } from '../common/quarantineState.js';
import type { ReportedLostRun } from '../common/quarantineTypes.js';
import { QuarantineManager } from '../node/quarantineManager.js';

const DIGEST = 'd';

/** Times in milliseconds before the reports. */
interface LostRunTimes {
	readonly sentAgoMs: number;
	readonly endedAgoMs: number;
}

function lostRun(number: number, { sentAgoMs, endedAgoMs }: LostRunTimes): ReportedLostRun {
	const identity = { digest: DIGEST, pathHash: 1, team: '' };
	return { ...identity, requestId: `r-${number}`, targetId: `t-${number}`, wasSuspected: false, sentAgoMs, endedAgoMs };
}

type ReportHandler = (request: ReportRunsRequest) => Promise<unknown>;

/** A control instance of a test. */
interface TestControl {
	readonly manager: QuarantineManager;
	readonly state: QuarantineState;
	/** Handles a report, as a call of another instance does. */
	readonly handle: ReportHandler;
	/** Number of commands that it has committed. */
	commits: number;
}

/**
 * Creates a control instance.
 * @param callLeader reaches the leader; undefined if this instance is the leader
 */
function createControl(state: QuarantineState, callLeader?: ReportHandler, commitMs = 0): TestControl {
	let handle!: ReportHandler;
	const calls = {
		handleUnary: (_method: unknown, handler: ReportHandler) => (handle = handler),
		call: (_address: string, _method: unknown, request: ReportRunsRequest) => callLeader!(request)
	};
	const status = { term: 1, id: 'b', leader: 'a', members: [{ id: 'a', address: 'a:1' }] };
	const agreement = {
		hasLease: () => callLeader === undefined,
		status: () => status,
		propose: async ({ body }: PartCommand) => {
			control.commits++;
			await new Promise(resolve => setTimeout(resolve, commitMs));
			return state.apply(body);
		}
	};
	const log = { info: () => undefined, warn: () => undefined };
	const manager = new QuarantineManager(
		calls as unknown as IPeerCalls,
		agreement as unknown as IAgreement,
		state,
		log as unknown as ILogService
	);
	const control: TestControl = { manager, state, handle, commits: 0 };
	return control;
}

function reportOf(endedRuns: readonly ReportedLostRun[]): ReportRunsRequest {
	return { report: { endedRuns, answered: [] }, isForwarded: false };
}

/** Sends reports to a leader one after the other, and returns the number of runs that count against the request. */
async function countAfterReports(reports: readonly (readonly ReportedLostRun[])[]): Promise<number> {
	const leader = createControl(new QuarantineState());
	for (const endedRuns of reports) {
		await leader.handle(reportOf(endedRuns));
	}
	return leader.state.countedRuns(DIGEST).length;
}

test('lost runs of earlier times that are reported after a later one count', async () => {
	const earlier = [
		{ sentAgoMs: 9000, endedAgoMs: 8900 },
		{ sentAgoMs: 5000, endedAgoMs: 4900 }
	];
	const runs = [{ sentAgoMs: 100, endedAgoMs: 10 }, ...earlier].map((times, i) => [lostRun(i, times)]);
	assert.equal(await countAfterReports(runs), 3);
});

test('lost runs count the same in whichever order and however often they are reported', async () => {
	const times = fc.record({ sentAgoMs: fc.integer({ min: 0, max: 6000 }), ranMs: fc.integer({ min: 0, max: 900 }) });
	const history = fc
		.array(times, { minLength: 1, maxLength: 9 })
		.map(all =>
			all.map(({ sentAgoMs, ranMs }, i) => lostRun(i, { sentAgoMs: sentAgoMs + ranMs + 1, endedAgoMs: sentAgoMs + 1 }))
		);
	const orders = history.chain(runs =>
		fc.record({
			inOrder: fc.constant([...runs].sort((a, b) => b.endedAgoMs - a.endedAgoMs)),
			reordered: fc.shuffledSubarray([...runs, ...runs], { minLength: 2 * runs.length })
		})
	);
	await fc.assert(
		fc.asyncProperty(orders, async ({ inOrder, reordered }) => {
			assert.equal(await countAfterReports([reordered]), await countAfterReports([inOrder]));
		}),
		{ seed: 49, numRuns: 300 }
	);
});

function suspectedState(): QuarantineState {
	const runs = [1, 2].map(i => ({ digest: DIGEST, pathHash: 1, team: '', requestId: `r-${i}`, targetId: `t-${i}` }));
	const state = new QuarantineState();
	state.apply({ type: 'noteRuns', runs });
	return state;
}

test('a request that is released a second time is not known, also by a control instance that lags behind', async () => {
	const leader = createControl(suspectedState());
	const follower = createControl(suspectedState(), request => leader.handle(request));
	assert.equal(await follower.manager.release(DIGEST), true);
	assert.equal(await follower.manager.release(DIGEST), false);
	assert.equal(await leader.manager.release(DIGEST), false);
});

/** Guards against a release that a partition holds up, and that clears what was counted after its successor. */
test('a release that arrives late or twice does not release a request that is suspected anew', async () => {
	const leader = createControl(suspectedState());
	const delayed: ReportRunsRequest[] = [];
	const follower = createControl(suspectedState(), request => {
		delayed.push(request);
		return Promise.reject(new Error('no response within 500 ms'));
	});
	await assert.rejects(follower.manager.release(DIGEST), FleetUnavailableError);
	assert.equal(await leader.manager.release(DIGEST), true);
	const runs = [3, 4].map(i => ({ digest: DIGEST, pathHash: 1, team: '', requestId: `r-${i}`, targetId: `t-${i}` }));
	leader.state.apply({ type: 'noteRuns', runs });
	await assert.rejects(leader.handle(delayed[0]!), FleetUnavailableError);
	assert.equal(leader.state.countedRuns(DIGEST).length, 2);
});

/** Guards against a report that was given up and sent again, and whose first copy arrives after later runs. */
test('reports of runs and answers that arrive a second time change nothing', async t => {
	let now = 100_000;
	t.mock.method(performance, 'now', () => now);
	const leader = createControl(new QuarantineState());
	const countAfter = async (report: ReportRunsRequest): Promise<number> => {
		await leader.handle(report);
		return leader.state.countedRuns(DIGEST).length;
	};
	const [first, second, third, fourth] = [1, 2, 3, 4].map(i =>
		lostRun(i, { sentAgoMs: i % 2 === 1 ? 3000 : 500, endedAgoMs: i % 2 === 1 ? 2900 : 400 })
	) as [ReportedLostRun, ReportedLostRun, ReportedLostRun, ReportedLostRun];
	const answered = { report: { endedRuns: [], answered: [{ digest: DIGEST, reportId: 'a' }] }, isForwarded: false };
	assert.equal(await countAfter(reportOf([first, second])), 2);
	assert.equal(await countAfter(answered), 0);
	now += 5000;
	assert.equal(await countAfter(reportOf([first, second])), 0);
	assert.equal(await countAfter(reportOf([third, fourth])), 2);
	assert.equal(await countAfter(answered), 2);
});

test('a release is unavailable while the leader cannot be reached', async () => {
	const follower = createControl(suspectedState(), () => Promise.reject(new Error('connection refused')));
	await assert.rejects(follower.manager.release(DIGEST), FleetUnavailableError);
});

test('reports that arrive while one is being committed share the next commit', async () => {
	const leader = createControl(new QuarantineState(), undefined, 30);
	const runs = Array.from({ length: 60 }, (_, i) => lostRun(i, { sentAgoMs: 100, endedAgoMs: 10 }));
	await Promise.all(runs.map((run, i) => leader.handle(reportOf([{ ...run, digest: `d-${i}` }]))));
	assert.equal(leader.state.records.length, 60);
	assert.ok(leader.commits <= 3, `${leader.commits} commits`);
});
