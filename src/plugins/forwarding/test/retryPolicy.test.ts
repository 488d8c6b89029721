/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which attempts need a retry from the budget. */

import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { systemClock } from '../../../base/clock.js';
import { NotRunCause } from '../common/attempt.js';
import type { RequestContext } from '../node/requestContext.js';
import { RetryPolicy } from '../node/retryPolicy.js';

const SERVICE = 'board';
/** Allow for one retry, by what they earn and by the own window. */
const FIRST_ATTEMPTS = 11;

let policy: RetryPolicy;

/** A request that was written to targets before, possibly by another instance, which may have taken a retry for the next attempt. */
function createRequest(writtenAttempts: number, hasRetry = false): RequestContext {
	const retryPermit = hasRetry ? { takenAt: 0, giveBack: () => undefined } : undefined;
	const state = { writtenAttempts, retryPermit, possibleRuns: 0, refusals: 0, connectFailures: 0 };
	const request = { service: SERVICE, route: { attempts: 2 }, body: { canBeSent: true }, ...state };
	return request as unknown as RequestContext;
}

/** Lets the budget grow to one retry. */
function recordFirstAttempts(): void {
	for (let i = 0; i < FIRST_ATTEMPTS; i++) {
		policy.retryBudgetOf(SERVICE).recordFirstAttempt(systemClock.now());
	}
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
	assert.equal(policy.coverNextAttempt(createRequest(0)), true);
});

test('a relayed request that a target has rejected needs a retry, of the sender or of this instance', () => {
	assert.equal(policy.coverNextAttempt(createRequest(1)), false);
	assert.equal(policy.coverNextAttempt(createRequest(1, true)), true);
	recordFirstAttempts();
	assert.equal(policy.coverNextAttempt(createRequest(1)), true);
});

/** Guards against retries that are counted long before they reach a target, behind connections that time out. */
test('a retry whose attempt found no connection is given back, and taken again for the next attempt', () => {
	recordFirstAttempts();
	const request = createRequest(1);
	assert.equal(policy.coverNextAttempt(request), true);
	assert.equal(policy.coverNextAttempt(createRequest(1)), false);
	assert.equal(
		policy.decide(request, { type: 'not-run', hasArrived: false, cause: NotRunCause.NoConnection }),
		'again'
	);
	assert.equal(policy.coverNextAttempt(createRequest(1)), true);
	assert.equal(policy.coverNextAttempt(request), false);
});
