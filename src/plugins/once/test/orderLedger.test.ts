/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Claims and outcomes of order keys that reach the leader late, twice or after their successors. */

import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { OrderLedger, type OrderOutcome } from '../common/orderLedger.js';

const KEY = '2026-12-04-a';
const OLDEST_DATE = '2026-12-01';
const RAN: OrderOutcome = { kind: 'ran', answer: { status: 200, headers: [] } };

let ledger: OrderLedger;

function claim(requestId: string): string | undefined {
	return ledger.apply({ type: 'claim', key: KEY, digest: 'd', requestId, oldestDate: OLDEST_DATE })?.kind;
}

function recordOutcome(requestId: string, outcome: OrderOutcome): void {
	ledger.apply({ type: 'outcome', key: KEY, requestId, outcome });
}

beforeEach(() => {
	ledger = new OrderLedger();
});

/** Guards against an order that can never be placed again, as a request that was given up claims its key. */
test('a claim that arrives after its request was recorded as not run has no effect', () => {
	recordOutcome('r-1', { kind: 'not-run' });
	assert.equal(claim('r-1'), 'withdrawn');
	assert.equal(claim('r-2'), 'granted');
});

test('a claim that arrives a second time, after its request did not run, has no effect', () => {
	claim('r-1');
	recordOutcome('r-1', { kind: 'not-run' });
	claim('r-2');
	recordOutcome('r-2', { kind: 'not-run' });
	assert.deepEqual([claim('r-1'), claim('r-2'), claim('r-3')], ['withdrawn', 'withdrawn', 'granted']);
});

test('outcomes of earlier requests do not change the claim of a later one', () => {
	claim('r-1');
	recordOutcome('r-1', { kind: 'not-run' });
	claim('r-2');
	recordOutcome('r-1', { kind: 'not-run' });
	recordOutcome('r-1', RAN);
	assert.equal(claim('r-3'), 'in-progress');
	recordOutcome('r-2', RAN);
	recordOutcome('r-2', { kind: 'not-run' });
	assert.equal(claim('r-3'), 'ran');
});

test('a restored ledger has the same claims and withdrawn requests, also of an earlier version', () => {
	claim('r-1');
	recordOutcome('r-1', { kind: 'not-run' });
	claim('r-2');
	const restored = new OrderLedger();
	restored.restore(structuredClone(ledger.save()));
	ledger = restored;
	assert.deepEqual([claim('r-1'), claim('r-3')], ['withdrawn', 'in-progress']);
	ledger.restore([['2026-12-04', [[KEY, { digest: 'd', requestId: 'r-4', state: 'claimed' }]]]]);
	assert.deepEqual([claim('r-4'), claim('r-3')], ['granted', 'in-progress']);
});
