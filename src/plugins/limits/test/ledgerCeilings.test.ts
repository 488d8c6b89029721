/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What the replicated log tells a new leader about the credits of earlier ones. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LedgerCeilings } from '../common/ledgerCeilings.js';
import { POLICY } from './limitSimulation.js';

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

/** Guards against names that match what every object inherits. */
test('a team named like an inherited member has the initial ceiling', () => {
	const ceilings = new LedgerCeilings(POLICY, () => 0);
	assert.equal(ceilings.currentCeiling('constructor', 100), ceilings.currentCeiling('t', 100));
	assert.equal(ceilings.currentUsageBound('constructor'), ceilings.currentUsageBound('t'));
});
