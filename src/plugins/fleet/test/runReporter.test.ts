/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Reports of lost runs reach a control instance that responds, and are not repeated after that. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { ReportRunsRequest } from '../common/fleetWire.js';
import type { ObservedLostRun } from '../common/quarantineTypes.js';
import { RunReporter } from '../node/runReporter.js';

const LOG = { warn: () => undefined } as unknown as ILogService;

function observedRun(requestId: string): ObservedLostRun {
	const times = { sentAt: performance.now() - 200, endedAt: performance.now() - 100 };
	return { digest: 'd', pathHash: 1, team: '', requestId, targetId: 't', wasSuspected: false, ...times };
}

/** Fake control instances of which only some respond; records the calls and the requests received. */
class FakeControls {
	readonly receivedRequests: ReportRunsRequest[] = [];
	readonly calledAddresses: string[] = [];
	readonly calls = {
		call: async (address: string, _method: unknown, request: ReportRunsRequest) => {
			this.calledAddresses.push(address);
			if (!this.reachable.has(address)) {
				throw new Error('no response');
			}
			this.receivedRequests.push(request);
			return { received: true };
		}
	} as unknown as IPeerCalls;

	constructor(readonly reachable: ReadonlySet<string>) {}

	get requestIds(): string[] {
		return this.receivedRequests.flatMap(({ report }) => report.endedRuns.map(({ requestId }) => requestId));
	}
}

function pause(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms));
}

test('runs lost together are reported in one call, with relative times', async () => {
	const controls = new FakeControls(new Set(['a:1']));
	const reporter = new RunReporter(controls.calls, () => ['a:1'], LOG);
	['r-1', 'r-2'].forEach(id => reporter.reportRun(observedRun(id)));
	reporter.reportAnswer('d');
	reporter.reportAnswer('d');
	await pause(100);
	assert.equal(controls.receivedRequests.length, 1);
	const { endedRuns, answered } = controls.receivedRequests[0]!.report;
	assert.deepEqual([endedRuns.length, answered.map(({ digest }) => digest)], [2, ['d']]);
	assert.ok(endedRuns[0]!.sentAgoMs >= 200 && endedRuns[0]!.endedAgoMs >= 100 && endedRuns[0]!.endedAgoMs < 200);
});

test('a failed report is retried at the next control instance, and runs added meanwhile are not lost', async () => {
	const controls = new FakeControls(new Set(['b:1']));
	const reporter = new RunReporter(controls.calls, () => ['a:1', 'b:1'], LOG);
	reporter.reportRun(observedRun('r-1'));
	await pause(60);
	reporter.reportRun(observedRun('r-2'));
	await pause(250);
	assert.deepEqual(controls.requestIds, ['r-1', 'r-2']);
	assert.equal(controls.calledAddresses[0], 'a:1');
});
