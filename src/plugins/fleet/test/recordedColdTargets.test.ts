/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which targets count as cold by their records until a heartbeat tells. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetState } from '../common/fleetState.js';
import { type FleetCommand, TargetPhase } from '../common/fleetTypes.js';
import { recordedColdTargets } from '../common/recordedColdTargets.js';

const NOW = 1_000_000;
const CLOCK_TOLERANCE_MS = 5000;

function registration(id: string, coldUntil?: number, bornAt = 0): FleetCommand {
	const description = {
		id,
		bornAt,
		service: 's',
		address: `127.0.0.1:${id}`,
		hall: 'h',
		version: 'v',
		slots: 2
	};
	return {
		type: 'changeTargets',
		changes: [{ id, bornAt, phase: TargetPhase.Serving, description, pacedSenders: [], coldUntil }]
	};
}

function turnsCold(id: string, coldUntil: number, bornAt = 0): FleetCommand {
	return { type: 'paceTargets', changes: [{ id, bornAt, coldUntil }] };
}

function coldIds(commands: readonly FleetCommand[], uncommitted: readonly FleetCommand[] = [], now = NOW): string[] {
	const state = new FleetState();
	commands.forEach(command => state.apply(command));
	const restored = new FleetState();
	restored.restore(state.save());
	return recordedColdTargets(restored.targets, uncommitted, now).map(({ id }) => id);
}

test('a target is cold by its registration or a later change, also if that is not known to be committed', () => {
	const commands = [registration('1', NOW + 3000), registration('2'), registration('3'), registration('4')];
	assert.deepEqual(coldIds([...commands, turnsCold('3', NOW + 3000)], [turnsCold('4', NOW + 3000)]), ['1', '3', '4']);
});

test('a target that was never cold is not cold, and one whose time ended longer ago than clocks differ is neither', () => {
	const commands = [registration('1'), registration('2', NOW), registration('3', NOW - CLOCK_TOLERANCE_MS)];
	assert.deepEqual(coldIds(commands), ['2']);
	assert.deepEqual(coldIds(commands, [], NOW + CLOCK_TOLERANCE_MS), []);
});

test('the time does not end earlier by a later word, and a new incarnation starts without it', () => {
	const commands = [registration('1', NOW + 3000), turnsCold('1', NOW - 20000)];
	assert.deepEqual(coldIds(commands), ['1']);
	assert.deepEqual(coldIds([...commands, registration('1', undefined, 7)]), []);
	assert.deepEqual(coldIds([...commands, registration('1', undefined, 7)], [turnsCold('1', NOW + 3000)]), []);
});

test('a target that is gone is not cold; the time told is short, since it is told again until a heartbeat arrives', () => {
	const gone: FleetCommand = { type: 'changeTargets', changes: [{ id: '1', phase: TargetPhase.Gone }] };
	assert.deepEqual(coldIds([registration('1', NOW + 3000), gone]), []);
	const state = new FleetState();
	state.apply(registration('1', NOW + 60000));
	assert.deepEqual(recordedColdTargets(state.targets, [], NOW), [{ id: '1', leftMs: 2000 }]);
});
