/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Turns in which connections have parts of bodies parsed. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_READ_PER_TURN, ReadTurns } from '../common/readTurns.js';

test('a connection has one part a turn, and is served again after those that waited before it', () => {
	const turns = new ReadTurns<number>();
	const connections = Array.from({ length: MAX_READ_PER_TURN + 1 }, (_, i) => i);
	const late = MAX_READ_PER_TURN;
	assert.deepEqual(
		connections.filter(connection => turns.tryTake(connection)),
		connections.slice(0, late)
	);
	assert.equal(turns.tryTake(0), false);
	assert.deepEqual(turns.begin(), [late, 0]);
	assert.deepEqual([turns.tryTake(late), turns.tryTake(late)], [true, false]);
	assert.equal(turns.tryTake(0), true);
	assert.deepEqual(turns.begin(), [late]);
});

test('no turn is needed once nobody waits', () => {
	const turns = new ReadTurns<string>();
	turns.tryTake('a');
	turns.tryTake('a');
	turns.remove('a');
	assert.equal(turns.isPending, true);
	turns.begin();
	assert.equal(turns.isPending, false);
});
