/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Commands that reach the leader after later ones, or twice, have no effect: each names what it is based on. One case for each kind of
 * command on replicated state that another instance submits; see docs/design/delayedMessages.md.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { IReplicatedPart } from '../../src/plugins/agreement/common/replicatedState.js';
import { FleetState } from '../../src/plugins/fleet/common/fleetState.js';
import { type FleetCommand, TargetPhase } from '../../src/plugins/fleet/common/fleetTypes.js';
import { LedgerCeilings, type LedgerCommand } from '../../src/plugins/limits/common/ledgerCeilings.js';
import { OrderLedger, type OrderCommand } from '../../src/plugins/once/common/orderLedger.js';
import { type TakeoverCommand, TakeoverState } from '../../src/plugins/ownership/common/takeoverState.js';

const ADDRESS = '127.0.0.1:1';
const KEY = '2026-12-04-a';
const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const POLICY = { windowMs: 4000, excessFraction: 0, slackRequests: 0 };

function publish(version: number, base: number): FleetCommand {
	const table = { version, routes: [], services: [], teams: undefined, limits: LIMITS };
	return { type: 'publishTable', base, table, document: `${version}`, digest: `d${version}` };
}

function setHall(isDrained: boolean, base: number): FleetCommand {
	return { type: 'setHall', hall: 'h', isDrained, base };
}

function register(id: string, bornAt: number, base: number, addressOwner: string | null): FleetCommand {
	const description = { id, bornAt, service: 's', address: ADDRESS, hall: 'h', version: 'v', slots: 1 };
	const change = { id, bornAt, phase: TargetPhase.Serving, description, pacedSenders: [], base, addressOwner };
	return { type: 'changeTargets', changes: [change] };
}

function changePhase(phase: TargetPhase, named: { bornAt?: number; base?: number }): FleetCommand {
	return { type: 'changeTargets', changes: [{ id: 'a', phase, ...named }] };
}

function pace(change: { limitPerSecond?: number; pacedSenders?: string[]; coldUntil?: number; base?: number }) {
	return { type: 'paceTargets', changes: [{ id: 'a', bornAt: 1, ...change }] } satisfies FleetCommand;
}

function ceilings(term: number, count: number): LedgerCommand {
	return { type: 'ceilings', term, ceilings: { t: count } };
}

function takeover(type: TakeoverCommand['type'], by: string, base: number): TakeoverCommand {
	return { type, of: 'a', by, base };
}

function claim(requestId: string): OrderCommand {
	return { type: 'claim', key: KEY, digest: 'd', requestId, oldestDate: '2026-12-01' };
}

function outcome(requestId: string, kind: 'not-run' | 'unknown'): OrderCommand {
	return { type: 'outcome', key: KEY, requestId, outcome: { kind } };
}

interface DelayedCommand {
	readonly name: string;
	readonly create: () => IReplicatedPart;
	/** Commands that come before. */
	readonly before?: readonly unknown[];
	/** The command that is delayed or repeated. */
	readonly command: unknown;
	/** Commands that come after, if the delayed one has not arrived. */
	readonly successors: readonly unknown[];
	/** Commands that come after, if it has; the same ones if left out. */
	readonly successorsOfArrived?: readonly unknown[];
}

const createFleet = (): IReplicatedPart => new FleetState();
const createOrders = (): IReplicatedPart => new OrderLedger();
const createCeilings = (): IReplicatedPart => new LedgerCeilings(POLICY, () => 0);
const createTakeovers = (): IReplicatedPart => new TakeoverState();

const CASES: readonly DelayedCommand[] = [
	{
		name: 'a configuration',
		create: createFleet,
		before: [publish(1, 0)],
		command: publish(3, 1),
		successors: [publish(4, 1)],
		successorsOfArrived: [publish(5, 3)]
	},
	{
		name: 'an order to put a data hall back in service',
		create: createFleet,
		before: [setHall(true, 0)],
		command: setHall(false, 1),
		successors: [setHall(true, 1)],
		successorsOfArrived: [setHall(true, 2)]
	},
	{
		name: 'the registration of a target',
		create: createFleet,
		command: register('a', 1, 0, null),
		successors: [register('b', 1, 0, null)],
		successorsOfArrived: [register('b', 1, 0, 'a')]
	},
	{
		name: 'the removal of a target',
		create: createFleet,
		before: [register('a', 1, 0, null)],
		command: changePhase(TargetPhase.Gone, { base: 1 }),
		successors: [register('a', 2, 1, 'a')],
		successorsOfArrived: [register('a', 2, 2, null)]
	},
	{
		name: 'the shutdown of a target',
		create: createFleet,
		before: [register('a', 1, 0, null)],
		command: changePhase(TargetPhase.Leaving, { bornAt: 1 }),
		successors: [register('a', 2, 1, 'a')],
		successorsOfArrived: [register('a', 2, 2, 'a')]
	},
	{
		name: 'the limit of a target',
		create: createFleet,
		before: [register('a', 1, 0, null)],
		command: pace({ limitPerSecond: 50, base: 1 }),
		successors: [pace({ limitPerSecond: 20, base: 1 })],
		successorsOfArrived: [pace({ limitPerSecond: 20, base: 2 })]
	},
	{
		name: 'the senders of a target',
		create: createFleet,
		before: [register('a', 1, 0, null)],
		command: pace({ pacedSenders: ['e-1'], base: 1 }),
		successors: [pace({ pacedSenders: ['e-2'], base: 1 })],
		successorsOfArrived: [pace({ pacedSenders: ['e-2'], base: 2 })]
	},
	{
		name: 'the end of the cold time of a target',
		create: createFleet,
		before: [register('a', 1, 0, null)],
		command: pace({ coldUntil: 1000 }),
		successors: [pace({ coldUntil: 2000 })]
	},
	{
		name: 'the start of a credit ledger',
		create: createCeilings,
		command: { type: 'begin', term: 1 },
		successors: [{ type: 'begin', term: 2 }, ceilings(2, 10)]
	},
	{
		name: 'the ceilings of an earlier credit ledger',
		create: createCeilings,
		before: [{ type: 'begin', term: 1 }],
		command: ceilings(1, 50),
		successors: [{ type: 'begin', term: 2 }, ceilings(2, 10)]
	},
	{
		name: 'a takeover',
		create: createTakeovers,
		command: takeover('takeOver', 'b', 0),
		successors: [takeover('takeOver', 'c', 0), takeover('giveBack', 'c', 1)],
		successorsOfArrived: [takeover('giveBack', 'b', 1)]
	},
	{
		name: 'the end of a takeover',
		create: createTakeovers,
		before: [takeover('takeOver', 'b', 0)],
		command: takeover('giveBack', 'b', 1),
		successors: [takeover('giveBack', 'b', 1), takeover('takeOver', 'b', 2)]
	},
	{
		name: 'the claim of an order key',
		create: createOrders,
		command: claim('r-1'),
		successors: [outcome('r-1', 'not-run'), claim('r-2')]
	},
	{
		name: 'the outcome of a claim',
		create: createOrders,
		before: [claim('r-1')],
		command: outcome('r-1', 'not-run'),
		successors: [outcome('r-1', 'not-run'), claim('r-2')]
	}
];

/** The state after commands, the last of which is applied to it. */
function stateAfter(create: () => IReplicatedPart, commands: readonly unknown[]): unknown {
	const part = create();
	commands.forEach((command, i) => part.apply(command, i + 1));
	return structuredClone(part.save());
}

for (const { name, create, before = [], command, successors, successorsOfArrived = successors } of CASES) {
	test(`${name} has no effect when it arrives after its successors`, () => {
		const commands = [...before, ...successors];
		assert.deepEqual(stateAfter(create, [...commands, command]), stateAfter(create, commands));
	});

	test(`${name} has no effect when it arrives a second time`, () => {
		for (const commands of [
			[...before, command],
			[...before, command, ...successorsOfArrived]
		]) {
			assert.deepEqual(stateAfter(create, [...commands, command]), stateAfter(create, commands));
		}
	});
}
