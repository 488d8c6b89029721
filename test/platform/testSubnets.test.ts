/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Test runs at the same time use different addresses. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { subnetOf } from './platformTestSystem.js';

test('processes with different ids, and the systems of one process, have addresses of their own', () => {
	const subnets = new Set<string>();
	for (let processId = 1000; processId < 13000; processId++) {
		for (let system = 1; system <= 5; system++) {
			subnets.add(subnetOf(processId, system));
		}
	}
	assert.equal(subnets.size, 12000 * 5);
	for (const subnet of subnets) {
		assert.ok(
			subnet.split('.').every(octet => Number(octet) <= 255),
			subnet
		);
	}
});
