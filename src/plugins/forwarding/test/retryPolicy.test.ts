/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which attempts need a retry from the budget. */

import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { systemClock } from '../../../base/clock.js';
import type { RequestContext } from '../node/requestContext.js';
import { RetryPolicy } from '../node/retryPolicy.js';

const SERVICE = 'board';
const FIRST_ATTEMPTS = 20;

let policy: RetryPolicy;

/** A request as an instance takes it from another one. */
function relayedRequest(writtenAttempts: number, coveredAttempts: number): RequestContext {
	const state = { writtenAttempts, coveredAttempts, possibleRuns: 0, refusals: 0, connectFailures: 0 };
	const request = { service: SERVICE, route: { attempts: 2 }, body: { canBeSent: true }, ...state };
	return request as unknown as RequestContext;
}

beforeEach(() => {
	const dependencies = [{ entryCount: Number.POSITIVE_INFINITY }, {}, {}, {}] as unknown as ConstructorParameters<
		typeof RetryPolicy
	>;
	const bounds = { retries: { ratio: 0.2, windowMs: 10000, slack: 58 } } as ConstructorParameters<
		typeof RetryPolicy
	>[4];
	policy = new RetryPolicy(dependencies[0], dependencies[1], dependencies[2], dependencies[3], bounds);
});

test('a relayed request that has not been at a target needs no retry', () => {
	assert.equal(policy.coverNextAttempt(relayedRequest(0, 1)), true);
});

test('a relayed request that a target has rejected needs a retry, of the sender or of this instance', () => {
	assert.equal(policy.coverNextAttempt(relayedRequest(1, 1)), false);
	assert.equal(policy.coverNextAttempt(relayedRequest(1, 2)), true);
	for (let i = 0; i < FIRST_ATTEMPTS; i++) {
		policy.retryBudgetOf(SERVICE).recordFirstAttempt(systemClock.now());
	}
	assert.equal(policy.coverNextAttempt(relayedRequest(1, 1)), true);
});
