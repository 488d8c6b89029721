/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Takeovers and their ends that reach the leader late, twice or after their successors. */

import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { TakeoverState } from '../common/takeoverState.js';

let state: TakeoverState;

function takeOver(by: string, base = state.ownership('a').version): boolean {
	return state.apply({ type: 'takeOver', of: 'a', by, base }).ok;
}

function giveBack(by: string, base = state.ownership('a').version): boolean {
	return state.apply({ type: 'giveBack', of: 'a', by, base }).ok;
}

beforeEach(() => {
	state = new TakeoverState();
});

/** Guards against two owners of a target: the end of an earlier takeover must not end a later one. */
test('the end of a takeover that arrives after the next takeover has no effect', () => {
	takeOver('b');
	const late = state.ownership('a').version;
	assert.equal(giveBack('b', late), true);
	assert.equal(takeOver('b'), true);
	assert.equal(giveBack('b', late), false);
	assert.equal(state.ownership('a').takenOverBy, 'b');
});

/** Guards against targets that nobody uses, as a sibling has taken them over that had given up. */
test('a takeover that arrives after another one has ended has no effect', () => {
	const late = state.ownership('a').version;
	assert.equal(takeOver('c'), true);
	assert.equal(giveBack('c'), true);
	assert.equal(takeOver('b', late), false);
	assert.equal(state.ownership('a').takenOverBy, undefined);
});

test('a takeover that is requested again is recorded once, and no other sibling takes over meanwhile', () => {
	assert.deepEqual([takeOver('b'), takeOver('b', 0), takeOver('c')], [true, true, false]);
	assert.deepEqual(state.ownership('a'), { takenOverBy: 'b', version: 1 });
	const restored = new TakeoverState();
	restored.restore(structuredClone(state.save()));
	assert.deepEqual(restored.ownerships, state.ownerships);
	restored.restore([['a', 'c']]);
	assert.equal(restored.ownership('a').takenOverBy, 'c');
});
