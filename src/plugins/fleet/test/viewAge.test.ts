/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * After a suspension of the process, which the monotonic clock does not count, an entry instance must not take its view, or a
 * response that arrived meanwhile, for current.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ViewAge } from '../common/viewAge.js';

const SUSPENDED_MS = 60000;

/** Monotonic and wall clock driven by a test; a suspension advances the wall clock only. */
class FakeClock {
	private _monotonic = 1000;
	private _wall = 1767630000000;

	now(): number {
		return this._monotonic;
	}

	wallNow(): number {
		return this._wall;
	}

	advance(ms: number): void {
		this._monotonic += ms;
		this._wall += ms;
	}

	suspend(ms: number): void {
		this._wall += ms;
	}
}

test('the view age is the age of the response plus its transit time without the allowed wait', () => {
	const clock = new FakeClock();
	const age = new ViewAge(clock);
	assert.equal(age.ageMs(), Number.POSITIVE_INFINITY);
	const asked = age.timestampRequest();
	clock.advance(700);
	age.recordCurrentAnswer(asked, 500, 30);
	assert.equal(age.ageMs(), 230);
	clock.advance(100);
	assert.equal(age.ageMs(), 330);
});

test('after a suspension the view age is unknown until a later request is answered', () => {
	const clock = new FakeClock();
	const age = new ViewAge(clock);
	age.recordCurrentAnswer(age.timestampRequest(), 0, 0);
	const askedBefore = age.timestampRequest();
	clock.suspend(SUSPENDED_MS);
	assert.equal(age.ageMs(), Number.POSITIVE_INFINITY);
	age.recordCurrentAnswer(askedBefore, 500, 0);
	assert.equal(age.ageMs(), Number.POSITIVE_INFINITY);
	const askedAfter = age.timestampRequest();
	clock.advance(20);
	age.recordCurrentAnswer(askedAfter, 0, 0);
	assert.equal(age.ageMs(), 20);
});

test('a response to a request sent before a suspension is ignored, also if it is the first to detect the suspension', () => {
	const clock = new FakeClock();
	const age = new ViewAge(clock);
	const asked = age.timestampRequest();
	clock.suspend(SUSPENDED_MS);
	age.recordCurrentAnswer(asked, 500, 0);
	assert.equal(age.ageMs(), Number.POSITIVE_INFINITY);
});
