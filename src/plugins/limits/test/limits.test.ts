/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The limit of a team over all instances holds under message loss, delays, restarts and leader changes. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { sendRandomRequests, LimitSimulation, DEFAULT_HOLDER_COUNT, overload, POLICY } from './limitSimulation.js';
import { multiLeaderStep, runSteps, singleLeaderStep } from './limitSimulationSteps.js';
import { CreditLedger } from '../common/creditLedger.js';
import { HolderAccount } from '../common/holderAccount.js';
import { LedgerCeilings } from '../common/ledgerCeilings.js';
import { CREDIT_LIFETIME_MS, maxRequestsPerWindow } from '../common/limitPolicy.js';

function assertWithinLimit(simulation: LimitSimulation): void {
	assert.ok(
		simulation.maxAdmittedInWindow() <= simulation.maxAllowedInWindow,
		`${simulation.maxAdmittedInWindow()} of ${simulation.maxAllowedInWindow}`
	);
}

const limits = fc.record({
	perSecond: fc.integer({ min: 1, max: 60 }),
	burst: fc.integer({ min: 0, max: 60 })
});

test('no window exceeds the limit, for any interleaving of requests, renewals, message losses and restarts', () => {
	const steps = fc.array(singleLeaderStep, { minLength: 50, maxLength: 400 });
	fc.assert(
		fc.property(limits, steps, (limit, items) => {
			const simulation = new LimitSimulation(limit);
			runSteps(simulation, items);
			assertWithinLimit(simulation);
		}),
		{ numRuns: 400 }
	);
});

test('no window exceeds the limit after a leader change while holders spend credits of the previous leader', () => {
	const steps = fc.array(singleLeaderStep, { minLength: 50, maxLength: 200 });
	fc.assert(
		fc.property(limits, steps, fc.integer({ min: 0, max: 3000 }), steps, (limit, before, gapMs, later) => {
			const simulation = new LimitSimulation(limit);
			runSteps(simulation, before);
			simulation.now += gapMs;
			for (let i = 0; i < DEFAULT_HOLDER_COUNT; i++) {
				simulation.request(i, 20);
			}
			simulation.changeLeader();
			runSteps(simulation, later);
			assertWithinLimit(simulation);
		}),
		{ numRuns: 400 }
	);
});

test('no window exceeds the limit with any number of leader changes, restarts of all holders and idle times', () => {
	const steps = fc.array(multiLeaderStep, { minLength: 100, maxLength: 400 });
	fc.assert(
		fc.property(limits, steps, (limit, items) => {
			const simulation = new LimitSimulation(limit);
			runSteps(simulation, items);
			assertWithinLimit(simulation);
		}),
		{ numRuns: 400 }
	);
});

test('no window exceeds the limit when all instances restart at once under load, whatever the log still gets', () => {
	const steps = fc.array(singleLeaderStep, { minLength: 20, maxLength: 100 });
	const phases = fc.array(fc.record({ steps, overloadMs: fc.integer({ min: 0, max: 4000 }), downMs: fc.nat(2000) }), {
		minLength: 2,
		maxLength: 5
	});
	fc.assert(
		fc.property(limits, phases, (limit, items) => {
			const simulation = new LimitSimulation(limit);
			for (const phase of items) {
				overload(simulation, phase.overloadMs, []);
				runSteps(simulation, phase.steps);
				simulation.restartEverything(phase.downMs);
			}
			overload(simulation, 2000, []);
			assertWithinLimit(simulation);
		}),
		{ numRuns: 200 }
	);
});

test('credits that disconnected holders may still spend are not granted to others', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	overload(simulation, 10000, []);
	overload(simulation, 10000, [0, 1, 2]);
	assertWithinLimit(simulation);
});

test('a new leader reserves capacity for holders that spend credits of the previous one', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	overload(simulation, 10000, []);
	simulation.changeLeader();
	overload(simulation, 10000, [0, 1, 2, 3, 4]);
	assertWithinLimit(simulation);
});

test('credits of the previous and the new leader together stay within the limit', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	overload(simulation, 10000, [], [1, 2, 3, 4, 5]);
	overload(simulation, 200, [], [0, 1, 2, 3, 4, 5]);
	simulation.changeLeader();
	overload(simulation, CREDIT_LIFETIME_MS - 400, [0], [0]);
	overload(simulation, 300, [0]);
	overload(simulation, 5000, []);
	assertWithinLimit(simulation);
});

test('credits of the previous leader count until a window after the last one may have been spent', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	simulation.renewUrgently(0, 150, 'answered');
	simulation.changeLeader();
	simulation.now += CREDIT_LIFETIME_MS - 100;
	simulation.request(0, 150);
	simulation.now += 2700;
	overload(simulation, 2000, [0], [0]);
	assertWithinLimit(simulation);
});

test('a leader that was restarted counts all requests of the window before', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	overload(simulation, 10000, []);
	simulation.renewAll();
	simulation.restoreState();
	overload(simulation, 5000, []);
	assertWithinLimit(simulation);
});

test('a saved state without numbers of finished credits counts them all', () => {
	const ceilings = new LedgerCeilings(POLICY, () => 1000);
	ceilings.restore({ term: 2, current: { t: 50 }, before: [{ t: 100 }] });
	assert.equal(ceilings.previousCredits('t', 200), 100);
	ceilings.apply({ type: 'begin', term: 3 });
	assert.equal(ceilings.previousCredits('t', 200), 150);
});

test('a saved state or a command without bounds on the usage counts up to the ceiling', () => {
	const ceilings = new LedgerCeilings(POLICY, () => 1000);
	ceilings.restore({ term: 2, current: { t: 50 }, before: [{ t: 100 }], finished: { t: 5 }, finishedBefore: [{}] });
	assert.equal(ceilings.currentUsageBound('t'), Number.POSITIVE_INFINITY);
	assert.equal(ceilings.previousCredits('t', 200), 100);
	ceilings.apply({ type: 'begin', term: 3 });
	ceilings.apply({ type: 'ceilings', term: 3, ceilings: { t: 40 }, finished: { t: 10 } });
	ceilings.apply({ type: 'begin', term: 4 });
	assert.equal(ceilings.previousCredits('t', 200), 190);
});

test('after a restart earlier leaders count up to their bounds on the usage, from the log or from a saved state', () => {
	const ceilings = new LedgerCeilings(POLICY, () => 1000);
	ceilings.apply({ type: 'begin', term: 1 });
	ceilings.apply({ type: 'ceilings', term: 1, ceilings: { t: 900 }, finished: { t: 800 }, usageBounds: { t: 150 } });
	ceilings.apply({ type: 'begin', term: 2 });
	assert.equal(ceilings.previousCredits('t', 200), 150);
	ceilings.apply({ type: 'ceilings', term: 2, ceilings: { t: 500 }, finished: { t: 400 }, usageBounds: { t: 30 } });
	const restored = new LedgerCeilings(POLICY, () => 1000);
	restored.restore(JSON.parse(JSON.stringify(ceilings.save())));
	assert.equal(restored.currentUsageBound('t'), 30);
	restored.apply({ type: 'begin', term: 3 });
	assert.equal(restored.previousCredits('t', 200), 180);
});

const INHERITED = 30;

/** A ledger with one holder, which has `INHERITED` credits of an earlier leader and spends none but these. */
function createLedger(): {
	ceilings: LedgerCeilings;
	ledger: CreditLedger;
	renew: (sequence: number, needed: number, now?: number, spent?: number) => number;
} {
	const limit = { perSecond: 60, burst: 0 };
	const ceilings = new LedgerCeilings(POLICY, () => 1000);
	ceilings.apply({ type: 'begin', term: 1 });
	const ledger = new CreditLedger(POLICY, ceilings, () => limit);
	const renew = (sequence: number, needed: number, now = 1000, spent = 0): number => {
		const report = { team: 't', received: INHERITED, spent, returned: 0, givenBack: 0, needed, ahead: 0 };
		return ledger.renew({ holder: 'h', sequence, reports: [report] }, now)[0]!.granted;
	};
	return { ceilings, ledger, renew };
}

/** Guards against credits for a call that its holder gave up, which would be missing elsewhere. */
test('a call for credits that arrives late or twice gets none; calls for other teams do not make it late', () => {
	const { ceilings, ledger } = createLedger();
	ceilings.apply({ type: 'ceilings', term: 1, ceilings: { t: 300, other: 300 }, usageBounds: { t: 300, other: 300 } });
	const renew = (sequence: number, team: string): number => {
		const report = { team, received: 0, spent: 0, returned: 0, givenBack: 0, needed: 5, ahead: 0 };
		return ledger.renew({ holder: 'h', sequence, reports: [report] }, 1000)[0]!.granted;
	};
	assert.deepEqual([renew(2, 't'), renew(1, 't'), renew(2, 't')], [5, 0, 0]);
	assert.equal(renew(1, 'other'), 5);
});

test('a grant takes the usage no higher than its committed bound', () => {
	const { ceilings, renew } = createLedger();
	ceilings.apply({ type: 'ceilings', term: 1, ceilings: { t: 300 }, usageBounds: { t: 25 } });
	assert.equal(renew(1, 20) + renew(2, 20), 25);
});

test('a higher bound on the usage applies once it is committed, and requests that lack only that wait for it', () => {
	const { ceilings, ledger, renew } = createLedger();
	ceilings.apply({ type: 'ceilings', term: 1, ceilings: { t: 300 }, usageBounds: { t: 25 } });
	assert.equal(renew(1, 40), 25);
	const request = {
		holder: 'h',
		sequence: 2,
		reports: [{ team: 't', received: INHERITED + 25, spent: 0, returned: 0, givenBack: 0, needed: 10, ahead: 0 }]
	};
	const grants = ledger.renew(request, 1000);
	assert.equal(grants[0]!.granted, 0);
	assert.ok(ledger.needsCeiling(request, grants));
	const update = ledger.takeNewCeilings(1000);
	assert.equal(ledger.grantRemaining(request, grants, 1000)[0]!.granted, 0);
	ceilings.apply({ type: 'ceilings', term: 1, ...update });
	ledger.recordCommitted();
	assert.equal(ledger.grantRemaining(request, grants, 1000)[0]!.granted, 10);
});

test('a lower bound on the usage whose proposal failed applies until a later update is committed', () => {
	const { ceilings, ledger, renew } = createLedger();
	ceilings.apply({ type: 'ceilings', term: 1, ceilings: { t: 300 }, usageBounds: { t: 250 } });
	renew(1, 1);
	const undecided = ledger.takeNewCeilings(1000);
	const lowerBound = undecided.usageBounds['t']!;
	assert.ok(lowerBound < 250);
	const spent = 10;
	const usage = 1 + spent + renew(2, 200, 1000, spent);
	assert.equal(usage, lowerBound);
	const next = ledger.takeNewCeilings(1000);
	assert.ok(next.usageBounds['t']! > lowerBound);
	assert.equal(renew(3, 200, 1000, spent), 0);
	ceilings.apply({ type: 'ceilings', term: 1, ...undecided });
	ceilings.apply({ type: 'ceilings', term: 1, ...next });
	ledger.recordCommitted();
	assert.ok(renew(4, 200, 1000, spent) > 0);
});

test('a lower ceiling whose proposal failed applies until a later update is committed', () => {
	const { ceilings, ledger, renew } = createLedger();
	ceilings.apply({ type: 'ceilings', term: 1, ceilings: { t: 300 }, usageBounds: { t: 250 } });
	const before = renew(1, 20);
	const lowerCeiling = ledger.takeNewCeilings(1000).ceilings['t']!;
	assert.ok(lowerCeiling < 300);
	const later = 1000 + 3 * POLICY.windowMs;
	const issued = before + renew(2, 200, later);
	assert.equal(issued, lowerCeiling);
	const next = ledger.takeNewCeilings(later);
	assert.ok(next.ceilings['t']! > lowerCeiling);
	assert.equal(renew(3, 200, later), 0);
	ceilings.apply({ type: 'ceilings', term: 1, ...next });
	ledger.recordCommitted();
	assert.ok(renew(4, 200, later) > 0);
});

/** Guards against names that match what every object inherits. */
test('a team named like an inherited member has the initial ceiling', () => {
	const ceilings = new LedgerCeilings(POLICY, () => 0);
	assert.equal(ceilings.currentCeiling('constructor', 100), ceilings.currentCeiling('t', 100));
	assert.equal(ceilings.currentUsageBound('constructor'), ceilings.currentUsageBound('t'));
});

test('the bound on the usage of a team that became idle is lowered', () => {
	const { ceilings, ledger, renew } = createLedger();
	renew(1, 35);
	ceilings.apply({ type: 'ceilings', term: 1, ...ledger.takeNewCeilings(1000) });
	ledger.recordCommitted();
	const expiredAt = 1000 + CREDIT_LIFETIME_MS + POLICY.windowMs / 2;
	ceilings.apply({ type: 'ceilings', term: 1, ...ledger.takeNewCeilings(expiredAt) });
	ledger.recordCommitted();
	const { usageBounds } = ledger.takeNewCeilings(expiredAt + 2 * POLICY.windowMs);
	assert.ok(usageBounds['t']! < 35, `${usageBounds['t']}`);
});

test('a lower ceiling applies before it is committed', () => {
	const { ceilings, ledger, renew } = createLedger();
	const issued = renew(1, 200);
	assert.ok(issued < 50, `${issued} before the first commit`);
	ceilings.apply({ type: 'ceilings', term: 1, ...ledger.takeNewCeilings(1000) });
	const lowered = ledger.takeNewCeilings(1000).ceilings['t']!;
	assert.ok(lowered < ceilings.currentCeiling('t', 1000));
	assert.ok(issued + renew(2, 200) <= lowered);
});

test('credits that were spent before their reports count as issued, also beside others that were given back', () => {
	const account = new HolderAccount(
		{
			team: 't',
			received: 0,
			spent: 0,
			returned: 0,
			givenBack: 0,
			needed: 0,
			ahead: 0
		},
		1000
	);
	const report = (spent: number, returned: number, givenBack: number): void => {
		account.applyReport({ team: 't', received: 200, spent, returned, givenBack, needed: 0, ahead: 0 }, 1000);
	};
	account.grant(200, 1000);
	report(100, 0, 0);
	report(90, 100, 100);
	assert.equal(account.unused, 0);
	report(90, 110, 100);
	assert.equal(account.unused, 10);
});

test('credits given back long after they were spent free nothing in the window', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	simulation.renewUrgently(0, 150, 'answered');
	simulation.request(0, 150);
	simulation.admittedAt.length = 0;
	simulation.renew(0, 'answered');
	simulation.now += POLICY.windowMs + 100;
	overload(simulation, 500, [0], [0]);
	simulation.giveBackLate(0, 150);
	simulation.renew(0, 'answered');
	overload(simulation, 3000, [0], [0]);
	assertWithinLimit(simulation);
});

test('credits given back with the report of later ones leave these in the window for its whole length', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 0 });
	simulation.renewUrgently(0, 150, 'answered');
	simulation.request(0, 150);
	simulation.admittedAt.length = 0;
	simulation.renew(0, 'answered');
	for (let i = 0; i < 4; i++) {
		simulation.now += 900;
		simulation.renew(0, 'answered');
	}
	simulation.renewUrgently(0, 150, 'answered');
	simulation.request(0, 150);
	simulation.giveBackLate(0, 150);
	simulation.renew(0, 'answered');
	simulation.now += 1500;
	overload(simulation, 3000, [0], [0]);
	assertWithinLimit(simulation);
});

test('a lowered limit holds once held credits have expired', () => {
	const simulation = new LimitSimulation({ perSecond: 50, burst: 50 });
	for (let i = 0; i < 200; i++) {
		simulation.now += 50;
		simulation.request(i % DEFAULT_HOLDER_COUNT, 3);
		simulation.renewAll();
	}
	simulation.limit.perSecond = 5;
	simulation.limit.burst = 5;
	const expiredAt = simulation.now + CREDIT_LIFETIME_MS;
	for (let i = 0; i < 400; i++) {
		simulation.now += 50;
		simulation.request(i % DEFAULT_HOLDER_COUNT, 3);
		simulation.renewAll();
	}
	const late = simulation.admittedAt.filter(at => at > expiredAt);
	simulation.admittedAt.length = 0;
	simulation.admittedAt.push(...late);
	assertWithinLimit(simulation);
});

test('at most one in 1000 requests of teams within their limit is refused', () => {
	for (const [perSecond, burst, instances] of [
		[5, 5, 22],
		[20, 20, 22],
		[300, 300, 66]
	] as const) {
		const simulation = new LimitSimulation({ perSecond, burst }, instances);
		simulation.now += 10000;
		const { count } = sendRandomRequests(simulation, perSecond * 0.63, 60000);
		assert.ok(simulation.refusedCount <= count / 1000, `${perSecond} a second: ${simulation.refusedCount} of ${count}`);
		assertWithinLimit(simulation);
	}
});

test('holders in six data halls rarely call the leader for teams within their limit', () => {
	for (const [perSecond, burst, maxRenewalFraction] of [
		[5, 5, 1 / 3],
		[20, 20, 1 / 8],
		[300, 300, 1 / 25]
	] as const) {
		const simulation = new LimitSimulation({ perSecond, burst });
		simulation.now += 10000;
		const { count, renewals } = sendRandomRequests(simulation, perSecond * 0.63, 60000);
		assert.ok(
			renewals <= count * maxRenewalFraction,
			`${perSecond} a second: ${renewals} of ${count} waited for the leader`
		);
		assert.ok(simulation.refusedCount <= count / 1000, `${perSecond} a second: ${simulation.refusedCount} of ${count}`);
		assertWithinLimit(simulation);
	}
});

test('after a restart of all holders a team gets credits at once if the previous leader had settled', () => {
	const simulation = new LimitSimulation({ perSecond: 20, burst: 20 });
	sendRandomRequests(simulation, 12, 15000);
	runSteps(simulation, [{ type: 'restartAll' }]);
	const before = simulation.refusedCount;
	const { count } = sendRandomRequests(simulation, 24, 1000);
	assert.ok(simulation.refusedCount - before <= count / 4, `${simulation.refusedCount - before} of ${count}`);
	assertWithinLimit(simulation);
});

test('a disconnected holder spends its credits until they expire, and none after that', () => {
	const simulation = new LimitSimulation({ perSecond: 60, burst: 20 });
	for (let i = 0; i < 100; i++) {
		simulation.now += 100;
		simulation.request(0, 1);
		simulation.renew(0, 'answered');
		simulation.updateCeilings();
	}
	const disconnectedAt = simulation.now;
	for (let i = 0; i < 100; i++) {
		simulation.now += 100;
		simulation.request(0, 1);
	}
	const between = (from: number, to: number): number =>
		simulation.admittedAt.filter(at => at > disconnectedAt + from && at <= disconnectedAt + to).length;
	assert.ok(between(0, CREDIT_LIFETIME_MS) >= 10, `${between(0, CREDIT_LIFETIME_MS)}`);
	assert.equal(between(CREDIT_LIFETIME_MS, 10000), 0);
});

test('at most 1 % of the requests of a team that uses its whole limit is refused', () => {
	for (const perSecond of [8, 45, 248]) {
		const simulation = new LimitSimulation({ perSecond, burst: perSecond });
		sendRandomRequests(simulation, perSecond, 20000);
		const { count } = sendRandomRequests(simulation, 1.05 * perSecond, 20000);
		assert.ok(simulation.refusedCount <= count / 100, `${perSecond}: ${simulation.refusedCount} of ${count}`);
		assertWithinLimit(simulation);
	}
});

test('a new leader refuses few requests of teams below half of their limit', () => {
	for (const perSecond of [8, 45, 248]) {
		const simulation = new LimitSimulation({ perSecond, burst: perSecond });
		sendRandomRequests(simulation, 0.45 * perSecond, 15000);
		const before = simulation.refusedCount;
		simulation.changeLeader();
		const { count } = sendRandomRequests(simulation, 0.45 * perSecond, 10000);
		assert.ok(
			simulation.refusedCount - before <= count / 6,
			`${perSecond}: ${simulation.refusedCount - before} of ${count}`
		);
		assertWithinLimit(simulation);
	}
});

test('a leader change soon after a restart of all holders leaves capacity for the new leader', () => {
	for (const perSecond of [8, 45, 248]) {
		const simulation = new LimitSimulation({ perSecond, burst: perSecond });
		sendRandomRequests(simulation, 0.45 * perSecond, 15000);
		runSteps(simulation, [{ type: 'restartAll' }]);
		sendRandomRequests(simulation, 0.45 * perSecond, 300);
		simulation.changeLeader();
		const before = simulation.refusedCount;
		const { count } = sendRandomRequests(simulation, 0.45 * perSecond, 10000);
		assert.ok(
			simulation.refusedCount - before <= count / 3,
			`${perSecond}: ${simulation.refusedCount - before} of ${count}`
		);
		assertWithinLimit(simulation);
	}
});

test('the maximum of a window leaves a margin for requests that arrive closer together than they were sent', () => {
	assert.equal(maxRequestsPerWindow({ perSecond: 10, burst: 10 }, POLICY), Math.floor(0.92 * (60 * 1.1 + 20)));
});
