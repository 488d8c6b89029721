/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Changes of records for a caller, at an instance whose replica may lag behind the leader's. */

import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import type { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { IAgreement } from '../../agreement/common/agreement.js';
import { FleetState } from '../common/fleetState.js';
import type { FleetCommand, SetHallCommand } from '../common/fleetTypes.js';
import type { OrderRequest } from '../common/fleetWire.js';
import { LivenessTracker } from '../common/livenessTracker.js';
import { FleetCommandClient } from '../node/fleetCommandClient.js';

let leaderState: FleetState;
let localState: FleetState;
let received: FleetCommand[];
let client: FleetCommandClient;

function setHall(isDrained: boolean): SetHallCommand {
	return { type: 'setHall', hall: 'h', isDrained, base: leaderState.hallRevision('h') };
}

/** Drains the hall for a caller, at an instance that does not lead. */
function drain(hasCallerLeft: () => Promise<boolean>) {
	const createCommand = (base: number): FleetCommand => ({ type: 'setHall', hall: 'h', isDrained: true, base });
	return client.submitForCaller(createCommand, localState.hallRevision('h'), hasCallerLeft);
}

beforeEach(() => {
	leaderState = new FleetState();
	localState = new FleetState();
	received = [];
	const calls = {
		handleUnary: () => undefined,
		call: async (_address: string, _method: unknown, { command }: OrderRequest) => {
			received.push(command);
			return { result: leaderState.apply(command) };
		}
	};
	const agreement = {
		hasLease: () => false,
		status: () => ({ leader: 'leader', id: 'follower', members: [{ id: 'leader', address: 'a' }] })
	};
	client = new FleetCommandClient(
		calls as unknown as IPeerCalls,
		agreement as unknown as IAgreement,
		localState,
		new LivenessTracker({ entryTimeoutMs: 1, heartbeatTimeoutMs: 1 }, 0)
	);
});

test('an order that is based on an outdated record is based on the newest one while its caller waits', async () => {
	leaderState.apply(setHall(true));
	leaderState.apply(setHall(false));
	assert.equal((await drain(async () => false)).ok, true);
	assert.deepEqual([leaderState.isDrained('h'), received.length], [true, 2]);
});

/** Guards against an order that follows a later one of the same caller, as its base is read again after the caller has left. */
test('an order is not based on a newer record once its caller has left', async () => {
	leaderState.apply(setHall(true));
	leaderState.apply(setHall(false));
	let checks = 0;
	await assert.rejects(
		drain(async () => checks++ > 0),
		/caller has left/
	);
	assert.deepEqual([leaderState.isDrained('h'), received.length], [false, 1]);
});

test('an order whose record changes before each attempt is given up', async () => {
	const changeBefore = async (): Promise<boolean> => {
		leaderState.apply(setHall(!leaderState.isDrained('h')));
		return false;
	};
	await assert.rejects(drain(changeBefore), /other changes/);
});
