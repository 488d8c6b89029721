/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * An entry instance is suspended for a minute, which its steady clock does not count. It took its view for as old as before, some tenths
 * of a second, and said that it was ready, while the fleet had moved on; an answer that had waited for it all that time counted as fresh.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ViewAge } from '../common/viewAge.js';

const SUSPENDED_MS = 60000;

/** Two clocks that a test drives; a suspension moves the time of day alone. */
class TwoClocks {
	private _steady = 1000;
	private _wall = 1767630000000;

	now(): number {
		return this._steady;
	}

	wallNow(): number {
		return this._wall;
	}

	pass(ms: number): void {
		this._steady += ms;
		this._wall += ms;
	}

	suspend(ms: number): void {
		this._wall += ms;
	}
}

test('a view is as old as its answer was, and what that took beyond the time it was to be held back', () => {
	const clocks = new TwoClocks();
	const age = new ViewAge(clocks);
	assert.equal(age.ageMs(), Number.POSITIVE_INFINITY);
	const asked = age.ask();
	clocks.pass(700);
	age.noteCurrent(asked, 500, 30);
	assert.equal(age.ageMs(), 230);
	clocks.pass(100);
	assert.equal(age.ageMs(), 330);
});

test('after a suspension nobody knows how old a view is, until a question from afterwards is answered', () => {
	const clocks = new TwoClocks();
	const age = new ViewAge(clocks);
	age.noteCurrent(age.ask(), 0, 0);
	const askedBefore = age.ask();
	clocks.suspend(SUSPENDED_MS);
	assert.equal(age.ageMs(), Number.POSITIVE_INFINITY);
	age.noteCurrent(askedBefore, 500, 0);
	assert.equal(age.ageMs(), Number.POSITIVE_INFINITY);
	const askedAfter = age.ask();
	clocks.pass(20);
	age.noteCurrent(askedAfter, 0, 0);
	assert.equal(age.ageMs(), 20);
});

test('an answer to a question that a suspension interrupted does not count, whoever looks first', () => {
	const clocks = new TwoClocks();
	const age = new ViewAge(clocks);
	const asked = age.ask();
	clocks.suspend(SUSPENDED_MS);
	age.noteCurrent(asked, 500, 0);
	assert.equal(age.ageMs(), Number.POSITIVE_INFINITY);
});
