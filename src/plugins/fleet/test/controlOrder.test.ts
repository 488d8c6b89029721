/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which control instance an entry instance asks: the nearest that answers, and another while that one is lost. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ControlOrder } from '../common/controlOrder.js';

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

function orderOf(name = 'entry-1'): ControlOrder {
	const order = new ControlOrder({ name, hall: 'n1', region: 'north' }, hall => HALLS.get(hall));
	order.learn([], SEEDS);
	return order;
}

/** An order that was told of all control instances by a seed. */
function informed(): ControlOrder {
	const order = orderOf();
	order.noteCurrent('south:1');
	order.learn(CONTROLS, SEEDS);
	return order;
}

test('a fresh process asks the seeds, each in its turn, until one answers', () => {
	const order = orderOf();
	const first = order.next(0)!;
	order.noteFailure(first, 0);
	const second = order.next(100)!;
	assert.deepEqual([first, second].sort(), SEEDS);
	order.noteFailure(second, 100);
	assert.equal(order.next(200), first, 'when all have failed, the one that failed first');
});

test('it goes over to the control instance of its hall once that answers', () => {
	const order = informed();
	assert.equal(order.next(1000), 'south:1', 'the one that answers is kept until a nearer one has answered');
	assert.equal(order.takeNearer(1000), 'own:1');
	assert.equal(order.takeNearer(1500), undefined, 'tried once a second');
	order.noteCurrent('own:1');
	assert.equal(order.next(1600), 'own:1');
	assert.equal(order.takeNearer(9000), undefined);
});

test('one that failed is left alone for a while, and the next nearest is asked', () => {
	const order = informed();
	order.noteCurrent('own:1');
	order.noteFailure('own:1', 5000);
	assert.equal(order.next(5000), 'near:1');
	order.noteCurrent('near:1');
	assert.equal(order.takeNearer(6000), undefined);
	assert.equal(order.takeNearer(8100), 'own:1');
});

test('a late answer of one that is further away changes nothing', () => {
	const order = informed();
	order.noteCurrent('own:1');
	order.noteCurrent('south:1');
	assert.equal(order.next(1000), 'own:1');
});

test('instances without a control instance in their hall spread over those of their region', () => {
	const controls = Array.from({ length: 3 }, (_, i) => ({ address: `near:${i}`, hall: 'n2' }));
	const asked = Array.from({ length: 30 }, (_, i) => {
		const order = orderOf(`entry-${i}`);
		order.learn(controls, SEEDS);
		return order.next(0)!;
	});
	const counts = controls.map(({ address }) => asked.filter(other => other === address).length);
	assert.ok(Math.min(...counts) >= 4, counts.join(' '));
});

test('in order: the one that answers, the others by distance, those that failed of late last', () => {
	const order = informed();
	order.noteFailure('own:1', 0);
	order.noteCurrent('near:1');
	const addresses = order.inOrder(100);
	assert.equal(addresses[0], 'near:1');
	assert.equal(addresses.at(-1), 'own:1');
	assert.equal(new Set(addresses).size, addresses.length);
	assert.equal(order.inOrder(9000)[1], 'own:1');
});
