/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Heartbeats of targets at the same address, of which one has crashed. */

import assert from 'node:assert/strict';
import { afterEach, beforeEach, mock, test } from 'node:test';
import type { ILogService } from '../../../kernel/node/logService.js';
import { FleetState } from '../common/fleetState.js';
import { type FleetCommand, TargetPhase } from '../common/fleetTypes.js';
import { LivenessTracker } from '../common/livenessTracker.js';
import type { FleetCommandClient } from '../node/fleetCommandClient.js';
import { TargetRegistrar } from '../node/targetRegistrar.js';

const ADDRESS = '127.0.0.1:1';
const INTERVAL_MS = 1500;
const TIMEOUTS = { entryTimeoutMs: 2500, heartbeatTimeoutMs: 4500 };
const silentLog = { info: () => undefined } as unknown as ILogService;

let now: number;
let sequence: number;
let state: FleetState;
let liveness: LivenessTracker;
let registrar: TargetRegistrar;

/** A control instance that starts now, with the replicated state and nothing heard. */
function startControl(): void {
	const apply = (command: FleetCommand) => Promise.resolve(state.apply(command));
	const commands = { submit: apply, submitToLeader: apply, waitUntilTargetChangeApplied: () => Promise.resolve() };
	liveness = new LivenessTracker(TIMEOUTS, now);
	registrar = new TargetRegistrar(
		state,
		liveness,
		commands as unknown as FleetCommandClient,
		new Map([['h', 'r']]),
		silentLog
	);
}

function heartbeat(id: string, isLeaving = false): Promise<void> {
	const description = { id, bornAt: 0, service: 's', address: ADDRESS, hall: 'h', version: 'v', slots: 1 };
	return registrar.heartbeat({ description, isLeaving, sequence: ++sequence, coldLeftMs: 0 });
}

async function heartbeats(id: string, count: number): Promise<void> {
	for (let i = 0; i < count; i++) {
		now += INTERVAL_MS;
		await heartbeat(id);
	}
}

beforeEach(() => {
	now = 100_000;
	sequence = 0;
	state = new FleetState();
	mock.method(performance, 'now', () => now);
	startControl();
});

afterEach(() => mock.restoreAll());

/** Guards against a late heartbeat of a crashed target after which those of the running one at its address are ignored. */
test('a target whose address another one has registered stays heard while it sends heartbeats', async () => {
	await heartbeats('running', 3);
	await heartbeat('crashed');
	now += INTERVAL_MS;
	await heartbeat('crashed');
	assert.equal(state.targetIdAt(ADDRESS), 'crashed');
	await heartbeats('running', 20);
	assert.equal(liveness.isSilent('running', now), false);
	assert.equal(liveness.isSilent('crashed', now), true);
});

/** Guards against a shutdown that is acknowledged and has no effect. */
test('the shutdown of a target whose address another one has registered takes effect', async () => {
	await heartbeats('running', 3);
	await heartbeat('crashed');
	now += INTERVAL_MS;
	await heartbeat('crashed');
	await heartbeat('running', true);
	assert.equal(state.target('running')?.phase, TargetPhase.Leaving);
});

test('a control instance that has just started registers no second target at an address by one heartbeat', async () => {
	await heartbeats('running', 3);
	startControl();
	await heartbeat('crashed');
	assert.equal(state.target('crashed'), undefined);
	await heartbeat('running');
	assert.equal(liveness.isSilent('running', now), false);
});
