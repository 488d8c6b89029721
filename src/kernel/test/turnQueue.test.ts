/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How turns are shared. */

import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { TurnQueue } from '../common/turnQueue.js';

const MAX_WAITING = 3;
const MAX_PARTS_PER_TURN = 4;

/** Adds its name to the log for each part. */
class Taker {
	constructor(
		private readonly _name: string,
		private _parts: number
	) {}

	runTurn(): void {
		log += this._name;
		if (--this._parts > 0) {
			queue.add(this);
		}
	}
}

let queue: TurnQueue<Taker>;
let log: string;
let scheduled: (() => void)[];

beforeEach(() => {
	log = '';
	scheduled = [];
	queue = new TurnQueue(MAX_WAITING, MAX_PARTS_PER_TURN, callback => scheduled.push(callback));
});

function runTurn(): void {
	assert.equal(scheduled.length, 1);
	scheduled.pop()!();
	log += ' ';
}

test('a turn has a bounded number of parts, which those that wait share', () => {
	queue.add(new Taker('a', 5));
	queue.add(new Taker('b', 2));
	runTurn();
	queue.add(new Taker('c', 1));
	runTurn();
	assert.equal(log, 'abab acaa ');
	assert.equal(scheduled.length, 0);
});

test('one that waits already is not counted again, and too many are refused', () => {
	const takers = ['a', 'b', 'c'].map(name => new Taker(name, 1));
	assert.ok([...takers, ...takers].every(taker => queue.add(taker)));
	assert.equal(queue.add(new Taker('d', 1)), false);
	queue.delete(takers[0]!);
	assert.equal(queue.add(new Taker('e', 1)), true);
	runTurn();
	assert.equal(log, 'bce ');
});
