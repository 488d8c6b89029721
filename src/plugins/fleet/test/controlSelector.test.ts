/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** An entry instance must use the nearest control instance that responds, and fail over to another while that one is down. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ControlSelector } from '../common/controlSelector.js';

const HALLS = new Map([
	['n1', 'north'],
	['n2', 'north'],
	['s1', 'south']
]);
const SEEDS = ['south:1', 'unknown:1'];
const CONTROLS = [
	{ address: 'south:1', hall: 's1' },
	{ address: 'near:1', hall: 'n2' },
	{ address: 'own:1', hall: 'n1' }
];

function createSelector(name = 'entry-1'): ControlSelector {
	const selector = new ControlSelector({ name, hall: 'n1', region: 'north' }, hall => HALLS.get(hall));
	selector.setControls([], SEEDS);
	return selector;
}

/** A selector that has learned all control instances from a seed. */
function createInformedSelector(): ControlSelector {
	const selector = createSelector();
	selector.recordCurrentAnswer('south:1');
	selector.setControls(CONTROLS, SEEDS);
	return selector;
}

test('a new process tries the seeds in turn until one responds', () => {
	const selector = createSelector();
	const first = selector.next(0)!;
	selector.recordFailedRequest(first, 0);
	const second = selector.next(100)!;
	assert.deepEqual([first, second].sort(), SEEDS);
	selector.recordFailedRequest(second, 100);
	assert.equal(selector.next(200), first, 'if all have failed, the one that failed first is retried');
});

test('switches to the control instance of its own hall once that responds', () => {
	const selector = createInformedSelector();
	assert.equal(selector.next(1000), 'south:1', 'keeps the one in use until a nearer one has responded');
	assert.equal(selector.takeNearerCandidate(1000), 'own:1');
	assert.equal(selector.takeNearerCandidate(1500), undefined, 'retried once a second');
	selector.recordCurrentAnswer('own:1');
	assert.equal(selector.next(1600), 'own:1');
	assert.equal(selector.takeNearerCandidate(9000), undefined);
});

test('a failed control instance is avoided during its backoff, and the next nearest is used', () => {
	const selector = createInformedSelector();
	selector.recordCurrentAnswer('own:1');
	selector.recordFailedRequest('own:1', 5000);
	assert.equal(selector.next(5000), 'near:1');
	selector.recordCurrentAnswer('near:1');
	assert.equal(selector.takeNearerCandidate(6000), undefined);
	assert.equal(selector.takeNearerCandidate(8100), 'own:1');
});

test('a late response of a more distant control instance does not replace the one in use', () => {
	const selector = createInformedSelector();
	selector.recordCurrentAnswer('own:1');
	selector.recordCurrentAnswer('south:1');
	assert.equal(selector.next(1000), 'own:1');
});

test('entry instances without a control instance in their hall are spread over those of their region', () => {
	const controls = Array.from({ length: 3 }, (_, i) => ({ address: `near:${i}`, hall: 'n2' }));
	const selected = Array.from({ length: 30 }, (_, i) => {
		const selector = createSelector(`entry-${i}`);
		selector.setControls(controls, SEEDS);
		return selector.next(0)!;
	});
	const counts = controls.map(({ address }) => selected.filter(other => other === address).length);
	assert.ok(Math.min(...counts) >= 4, counts.join(' '));
});

test('addresses are ordered: the one in use, then by distance, recently failed ones last', () => {
	const selector = createInformedSelector();
	selector.recordFailedRequest('own:1', 0);
	selector.recordCurrentAnswer('near:1');
	const addresses = selector.addressesByPreference(100);
	assert.equal(addresses[0], 'near:1');
	assert.equal(addresses.at(-1), 'own:1');
	assert.equal(new Set(addresses).size, addresses.length);
	assert.equal(selector.addressesByPreference(9000)[1], 'own:1');
});
