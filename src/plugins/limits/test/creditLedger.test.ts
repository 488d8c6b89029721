/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The leader's ledger keeps within the ceilings and usage bounds that were committed. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CreditLedger } from '../common/creditLedger.js';
import { LedgerCeilings } from '../common/ledgerCeilings.js';
import { CREDIT_LIFETIME_MS } from '../common/limitPolicy.js';
import { POLICY } from './limitSimulation.js';

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
