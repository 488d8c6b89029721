/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Guards against two instances using the same target at a time when instances cannot reach each other or control. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OWNERSHIP_LEASE_MS, OwnershipLease } from '../common/ownershipLease.js';

test('without siblings an instance needs no lease; with one it needs its promise or a renewal by control', () => {
	assert.ok(new OwnershipLease([]).mayUseOwnTargets(0));
	const lease = new OwnershipLease(['b']);
	assert.ok(!lease.mayUseOwnTargets(0));
	lease.recordPromise('b', 0);
	assert.ok(lease.mayUseOwnTargets(OWNERSHIP_LEASE_MS - 1));
	assert.ok(!lease.mayUseOwnTargets(OWNERSHIP_LEASE_MS));
	lease.renew(OWNERSHIP_LEASE_MS);
	assert.ok(lease.mayUseOwnTargets(OWNERSHIP_LEASE_MS * 2 - 1));
});

test('a takeover is not requested before the promise to the sibling has expired, nor without a renewed lease', () => {
	const lease = new OwnershipLease(['b']);
	lease.renew(0);
	assert.ok(lease.grantPromise('b', 0));
	assert.ok(!lease.mayRequestTakeover('b', OWNERSHIP_LEASE_MS - 1));
	assert.ok(!lease.mayRequestTakeover('b', OWNERSHIP_LEASE_MS));
	lease.renew(OWNERSHIP_LEASE_MS);
	assert.ok(lease.mayRequestTakeover('b', OWNERSHIP_LEASE_MS));
});

test('targets taken over are used only after the wait and with a renewed lease, and returned before a promise is granted', () => {
	const lease = new OwnershipLease(['b']);
	lease.renew(0);
	lease.recordTakeover('b', 500);
	assert.ok(!lease.mayUseTargetsOf('b', 499));
	assert.ok(lease.mayUseTargetsOf('b', 500));
	assert.ok(!lease.mayUseTargetsOf('b', OWNERSHIP_LEASE_MS));
	assert.ok(!lease.grantPromise('b', 600));
	lease.endTakeover('b');
	assert.ok(!lease.mayUseTargetsOf('b', 600));
	assert.ok(lease.grantPromise('b', 600));
});
