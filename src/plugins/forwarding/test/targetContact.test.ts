/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** When failures of attempts make the links of an instance suspect, rather than the targets. */

import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { TargetContact } from '../common/targetContact.js';

let contact: TargetContact;

function fail(targets: readonly string[], now: number): void {
	targets.forEach(id => contact.recordFailure(contact.begin(id, now - 1), now));
}

beforeEach(() => {
	contact = new TargetContact(0);
});

test('three targets that fail without a response of any target make the links suspect', () => {
	fail(['a', 'b'], 10);
	assert.equal(contact.isSuspect(10), false);
	fail(['c'], 20);
	assert.equal(contact.isSuspect(20), true);
});

test('one target that fails again and again does not', () => {
	fail(['a', 'a', 'a', 'a', 'a'], 10);
	assert.equal(contact.isSuspect(10), false);
});

test('a response of any target ends the suspicion', () => {
	const handle = contact.begin('d', 0);
	fail(['a', 'b', 'c'], 10);
	contact.recordResponse(handle, 15);
	fail(['a', 'b'], 20);
	assert.equal(contact.isSuspect(20), false);
});

test('attempts at three targets that are overdue while nothing responds make the links suspect', () => {
	['a', 'b', 'c'].forEach(id => contact.begin(id, 100));
	assert.equal(contact.isSuspect(700), false);
	assert.equal(contact.isSuspect(900), true);
});

test('attempts at slow targets do not while another target responds', () => {
	['a', 'b', 'c'].forEach(id => contact.begin(id, 100));
	contact.recordResponse(contact.begin('d', 700), 800);
	assert.equal(contact.isSuspect(900), false);
});

test('what is overdue follows the response times', () => {
	for (let i = 0; i < 100; i++) {
		contact.recordResponse(contact.begin('d', i * 2000), i * 2000 + 2000);
	}
	const startAt = 200000;
	['a', 'b', 'c'].forEach(id => contact.begin(id, startAt));
	assert.equal(contact.isSuspect(startAt + 2500), false);
	assert.equal(contact.isSuspect(startAt + 3500), true);
});

test('attempts that were given up do not count', () => {
	const handles = ['a', 'b', 'c'].map(id => contact.begin(id, 100));
	handles.forEach(handle => contact.discard(handle));
	assert.equal(contact.isSuspect(5000), false);
});
