/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Whom an entry instance asks for credits where control answers, and where it does not. */

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

/** The task with peers that answer, or not, by their address. */
class TaskFixture {
	readonly addresses: string[] = [];
	handler: ((request: TakeRequest) => Promise<TakeResponse>) | undefined;
	readonly task: TeamLimitsTask;

	constructor(answerOf: (address: string) => TakeResponse | undefined) {
		const calls = {
			handleUnary: (_method: unknown, handler: (request: TakeRequest) => Promise<TakeResponse>) =>
				(this.handler = handler),
			call: async (address: string) => {
				this.addresses.push(address);
				const answer = answerOf(address);
				if (!answer) {
					throw new Error('no answer');
				}
				return answer;
			}
		} as unknown as IPeerCalls;
		const session = { controlAddresses: () => CONTROLS, view: { hallPeers: PEERS } } as unknown as IFleetSession;
		this.task = new TeamLimitsTask(session, calls, { warn: () => undefined } as unknown as ILogService);
	}

	async verdict(team: Team = LIMITED): Promise<LimitVerdict> {
		return (await this.task.admit(team)).verdict;
	}
}

test('the nearest control instance is asked, and nobody for a team without a limit', async () => {
	const asked = new TaskFixture(() => ONE_GRANTED);
	assert.equal(await asked.verdict(), LimitVerdict.Admitted);
	assert.equal(await asked.verdict({ ...LIMITED, name: 'free', limit: undefined }), LimitVerdict.Admitted);
	assert.deepEqual(asked.addresses, ['near:1']);
});

test('an instance that is cut off from control has another one of its hall take credits', async () => {
	const asked = new TaskFixture(address => (address.startsWith('peer') ? ONE_GRANTED : undefined));
	assert.equal(await asked.verdict(), LimitVerdict.Admitted);
	assert.deepEqual(asked.addresses, ['near:1', 'far:1', 'peer:1']);
	assert.equal(await asked.verdict(), LimitVerdict.Admitted);
	assert.deepEqual(asked.addresses.slice(3), ['farther:1', 'peer:1'], 'who did not answer is passed over');
});

test('what is asked for another instance goes to control only', async () => {
	const asked = new TaskFixture(() => undefined);
	const answer = await asked.handler!({ team: 'growers', needed: 1, returned: 0 });
	assert.deepEqual(answer, { granted: 0, retryAfterMs: 0 });
	assert.deepEqual(asked.addresses, ['near:1', 'far:1']);
	assert.equal(await asked.verdict(), LimitVerdict.Unknown);
});

test('a control instance that has just answered is asked again after one that was lost', async () => {
	let isLost = false;
	const asked = new TaskFixture(address => (isLost && address === 'near:1' ? undefined : ONE_GRANTED));
	await asked.verdict();
	isLost = true;
	await asked.verdict();
	isLost = false;
	await asked.verdict();
	assert.deepEqual(asked.addresses, ['near:1', 'near:1', 'far:1', 'near:1']);
});

test('a team beyond its limit is told when to come back', async () => {
	const asked = new TaskFixture(() => ({ granted: 0, retryAfterMs: 700 }));
	assert.deepEqual(await asked.task.admit(LIMITED), { verdict: LimitVerdict.OverLimit, retryAfterMs: 700 });
});
