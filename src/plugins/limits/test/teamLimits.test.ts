/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which instances an entry instance takes credits from, depending on which control instances respond. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IFleetSession } from '../../fleet/common/fleetSession.js';
import type { Team } from '../../routes/common/routeTable.js';
import type { TakeRequest, TakeResponse } from '../common/limitWire.js';
import { LimitVerdict } from '../common/teamLimits.js';
import { TeamLimitsTask } from '../node/teamLimitsTask.js';

const CONTROLS = ['near:1', 'far:1', 'farther:1'];
const PEERS = ['peer:1', 'peer:2'];
const LIMITED: Team = {
	name: 'growers',
	keyDigests: [],
	rank: 0,
	limit: { perSecond: 10, burst: 10 },
	homeRegions: []
};
const ONE_GRANTED: TakeResponse = { granted: 1, retryAfterMs: 0 };

/** The task with peers that respond or fail depending on their address. */
class TaskFixture {
	readonly calledAddresses: string[] = [];
	readonly returnedCounts: number[] = [];
	handler: ((request: TakeRequest) => Promise<TakeResponse>) | undefined;
	readonly task: TeamLimitsTask;

	constructor(responseOf: (address: string) => TakeResponse | undefined) {
		const calls = {
			handleUnary: (_method: unknown, handler: (request: TakeRequest) => Promise<TakeResponse>) =>
				(this.handler = handler),
			call: async (address: string, _method: unknown, request: TakeRequest) => {
				this.calledAddresses.push(address);
				this.returnedCounts.push(request.returned);
				const response = responseOf(address);
				if (!response) {
					throw new Error('no response');
				}
				return response;
			}
		} as unknown as IPeerCalls;
		const session = { controlAddresses: () => CONTROLS, view: { hallPeers: PEERS } } as unknown as IFleetSession;
		this.task = new TeamLimitsTask(session, calls, { warn: () => undefined } as unknown as ILogService);
	}

	async verdict(team: Team = LIMITED): Promise<LimitVerdict> {
		return (await this.task.admit(team)).verdict;
	}
}

test('credits are taken from the nearest control instance, and none for a team without a limit', async () => {
	const fixture = new TaskFixture(() => ONE_GRANTED);
	assert.equal(await fixture.verdict(), LimitVerdict.Admitted);
	assert.equal(await fixture.verdict({ ...LIMITED, name: 'free', limit: undefined }), LimitVerdict.Admitted);
	assert.deepEqual(fixture.calledAddresses, ['near:1']);
});

test('an instance that reaches no control instance takes credits through another one of its data hall', async () => {
	const fixture = new TaskFixture(address => (address.startsWith('peer') ? ONE_GRANTED : undefined));
	assert.equal(await fixture.verdict(), LimitVerdict.Admitted);
	assert.deepEqual(fixture.calledAddresses, ['near:1', 'far:1', 'peer:1']);
	assert.equal(await fixture.verdict(), LimitVerdict.Admitted);
	assert.deepEqual(
		fixture.calledAddresses.slice(3),
		['farther:1', 'peer:1'],
		'instances that did not respond are skipped'
	);
});

test('credits for another instance are taken from control instances only', async () => {
	const fixture = new TaskFixture(() => undefined);
	const response = await fixture.handler!({ team: 'growers', needed: 1, returned: 0 });
	assert.deepEqual(response, { granted: 0, retryAfterMs: 0 });
	assert.deepEqual(fixture.calledAddresses, ['near:1', 'far:1']);
	assert.equal(await fixture.verdict(), LimitVerdict.Unknown);
});

/** Guards against credits that two instances take back, of which the first responded too late. */
test('unused credits are returned in one call only, whether or not it is answered', async () => {
	const fixture = new TaskFixture(() => undefined);
	await fixture.handler!({ team: 'growers', needed: 1, returned: 3, returnedFrom: { holder: 'h', takenAt: 0 } });
	assert.deepEqual(fixture.returnedCounts, [3, 0]);
});

test('a control instance that has just responded is not skipped after one lost call', async () => {
	let isLost = false;
	const fixture = new TaskFixture(address => (isLost && address === 'near:1' ? undefined : ONE_GRANTED));
	await fixture.verdict();
	isLost = true;
	await fixture.verdict();
	isLost = false;
	await fixture.verdict();
	assert.deepEqual(fixture.calledAddresses, ['near:1', 'near:1', 'far:1', 'near:1']);
});

test('a team over its limit gets a retry delay', async () => {
	const fixture = new TaskFixture(() => ({ granted: 0, retryAfterMs: 700 }));
	assert.deepEqual(await fixture.task.admit(LIMITED), { verdict: LimitVerdict.OverLimit, retryAfterMs: 700 });
});
