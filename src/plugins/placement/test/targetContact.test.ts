/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which outcomes of attempts count as contact with a target. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type AttemptOutcome, NotRunCause } from '../../forwarding/common/attempt.js';
import { OutcomeTracker } from '../common/outcomeTracker.js';
import type { PlacementRequest } from '../common/placementRequest.js';
import { RegionLoad } from '../common/regionLoad.js';
import { TargetState } from '../common/targets/targetState.js';

function stateAfter(outcome: AttemptOutcome): TargetState {
	const state = new TargetState('i-1', 0, 4, new RegionLoad());
	const request = { service: 'reads', exchange: { isDisconnected: false } } as unknown as PlacementRequest;
	new OutcomeTracker().recordOutcome(request, state, outcome, 5, 1000);
	return state;
}

test('a refusal by the target that has taken over the address does not count as an answer of the one before', () => {
	const { answeredAt, isReplaced } = stateAfter({ type: 'not-run', hasArrived: true, cause: NotRunCause.OtherTarget });
	assert.equal(isReplaced, true);
	assert.equal(answeredAt, undefined);
});

test('a refusal by the target itself counts as an answer, a failed connection as none', () => {
	const refused = stateAfter({ type: 'not-run', hasArrived: true, cause: NotRunCause.Full });
	assert.equal(refused.answeredAt, 1000);
	const failed = stateAfter({ type: 'not-run', hasArrived: false, cause: NotRunCause.NoConnection });
	assert.deepEqual([failed.answeredAt, failed.unreachableAt], [undefined, 1000]);
});
