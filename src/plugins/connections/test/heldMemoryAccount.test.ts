/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The account of held memory, without connections. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldMemoryAccount } from '../common/heldMemoryAccount.js';
import { HeldBytes, MemoryPressure } from '../common/memoryAccount.js';

/** The memory with which the account has a limit of 1000 KiB. */
const MEMORY_MB = (1000 / 1024) * 64;
const KIB = 1024;

test('pressure rises with the bytes that are held, whatever they are held for', () => {
	const account = new HeldMemoryAccount(MEMORY_MB);
	const requests = account.hold(HeldBytes.RequestBody, 'a');
	const responses = account.hold(HeldBytes.ResponseBody, 'b');
	const pressures = [499, 500, 749, 750, 999, 1000].map(kib => {
		requests.resize(100 * KIB);
		responses.resize((kib - 100) * KIB);
		return account.pressure;
	});
	const { None, HoldBack, Refuse, Close } = MemoryPressure;
	assert.deepEqual(pressures, [None, HoldBack, HoldBack, Refuse, Refuse, Close]);
	assert.equal(account.heldBytes(HeldBytes.RequestBody), 100 * KIB);
	responses.release();
	responses.release();
	assert.deepEqual([account.pressure, account.heldBytes(HeldBytes.ResponseBody)], [None, 0]);
});

test('reservations leave half of the account to bytes that are held, and are given again after a release', () => {
	const account = new HeldMemoryAccount(MEMORY_MB);
	const reserved = Array.from({ length: 20 }, (_, i) =>
		account.tryReserve(HeldBytes.ResponseBody, 50 * KIB, `caller-${i}`)
	);
	assert.deepEqual(
		reserved.map(held => held !== undefined),
		Array.from({ length: 20 }, (_, i) => i < 10)
	);
	reserved[3]!.release();
	assert.ok(account.tryReserve(HeldBytes.ResponseBody, 50 * KIB, 'caller-12'));
	assert.equal(account.tryReserve(HeldBytes.ResponseBody, 50 * KIB, 'caller-13'), undefined);
});

test('one owner reserves an eighth of the account at most', () => {
	const account = new HeldMemoryAccount(MEMORY_MB);
	const count = Array.from({ length: 20 }, () => account.tryReserve(HeldBytes.ResponseBody, 25 * KIB, 'team')).filter(
		held => held !== undefined
	).length;
	assert.equal(count, 5);
	assert.ok(account.tryReserve(HeldBytes.ResponseBody, 25 * KIB, 'other'));
});
