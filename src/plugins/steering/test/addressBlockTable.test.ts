/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Compares the table with a plain array under random changes. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { parseIpv4Address, AddressBlockTable, NO_SITE } from '../common/addressBlockTable.js';

const SPACE = 6000;

const changes = fc.array(
	fc
		.record({ from: fc.nat(SPACE - 2), length: fc.integer({ min: 1, max: 400 }), site: fc.nat(5) })
		.map(({ from, length, site }) => ({ from, to: Math.min(SPACE, from + length), site })),
	{ maxLength: 40 }
);

test('a changed table returns the same sites as a plain array', async () => {
	await fc.assert(
		fc.asyncProperty(changes, async list => {
			const plain = Array.from({ length: SPACE + 10 }, (_unused, address) => address % 7);
			const start = AddressBlockTable.fromSorted(
				Uint32Array.from(plain, (_unused, address) => address),
				Uint8Array.from(plain)
			);
			list.forEach(change => plain.fill(change.site, change.from, change.to));
			const changed = await start.withChanges(list);
			plain.forEach((site, address) => assert.equal(changed.lookUp(address), site, `address ${address}`));
		}),
		{ seed: 20261202, numRuns: 60 }
	);
});

test('addresses below the first range have no site, and only IPv4 addresses are parsed', () => {
	const table = AddressBlockTable.fromSorted(Uint32Array.of(100), Uint8Array.of(3));
	assert.equal(table.lookUp(99), NO_SITE);
	assert.equal(table.lookUp(0xffffffff), 3);
	assert.equal(parseIpv4Address('10.0.0.255'), 0x0a0000ff);
	assert.equal(parseIpv4Address('10.0.0'), undefined);
	assert.equal(parseIpv4Address('10.0.0.x'), undefined);
});
