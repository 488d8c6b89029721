/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A wall clock that gets ahead of the monotonic clock must be reported, or leases outlive a suspension of the machine. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { IClock } from '../clock.js';
import { SuspensionDetector } from '../suspensionDetector.js';

/** Monotonic and wall clock that a test advances. */
class ManualClock implements IClock {
	private _monotonicMs = 500;
	private _wallMs = 1767630000000;

	advance(monotonicMs: number, wallMs = monotonicMs): void {
		this._monotonicMs += monotonicMs;
		this._wallMs += wallMs;
	}

	now(): number {
		return this._monotonicMs;
	}

	wallNow(): number {
		return this._wallMs;
	}
}

test('a jump of the wall clock alone is reported once', () => {
	const clock = new ManualClock();
	const detector = new SuspensionDetector(clock);
	clock.advance(10000, 10040);
	assert.equal(detector.detectSuspension(), false);
	clock.advance(20, 3020);
	assert.equal(detector.detectSuspension(), true);
	clock.advance(1000);
	assert.equal(detector.detectSuspension(), false);
});

test('setting the wall clock back is not reported, setting it forward again is', () => {
	const clock = new ManualClock();
	const detector = new SuspensionDetector(clock);
	clock.advance(1000, -1000);
	assert.equal(detector.detectSuspension(), false);
	clock.advance(1000, 3000);
	assert.equal(detector.detectSuspension(), true);
});
