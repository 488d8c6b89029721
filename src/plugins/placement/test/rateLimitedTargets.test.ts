/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Guards against synchronized retries: callers whose request was denied its maximum number of permits by rate limited targets
 * were all told to retry after the same 100 ms instead of at the times when permits become available.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type TargetRecord, TargetPhase } from '../../fleet/common/fleetTypes.js';
import { FleetView } from '../../fleet/common/fleetView.js';
import { PaceShare } from '../../fleet/common/paceShare.js';
import { TargetLimitTable } from '../../limits/common/targetLimitTable.js';
import { RepeatRule, type Route } from '../../routes/common/routeTable.js';
import { NotRunCause } from '../../forwarding/common/attempt.js';
import { RetryAfterScheduler } from '../../admission/common/retryAfterScheduler.js';
import type { PlacementRequest } from '../common/placementRequest.js';
import { TargetSelector } from '../common/targetSelector.js';

const NOW = 5000;
const PER_SECOND = 2;
const TARGETS = 6;
const ENTRIES = ['e-0', 'e-1', 'e-2'];
const ROUTE: Route = {
	name: 'reads',
	host: 'h',
	pathPrefix: '/reads/',
	repeatRule: RepeatRule.Repeatable,
	timeoutMs: 2000,
	objectiveMs: 400,
	rank: 1,
	parts: [{ service: 's', weight: 1 }],
	attempts: 2,
	isSticky: true,
	homeRegions: [],
	isPublic: true
};

function describeTarget(number: number): TargetRecord {
	const place = { address: `127.0.0.1:${number + 1}`, hall: 'h', version: 'v', slots: 9, phase: TargetPhase.Serving };
	const pace = { pacedSenders: ['e-1', 'e-2'], limitPerSecond: PER_SECOND };
	return { id: `t-${number}`, bornAt: 0, service: 's', ...place, changedAt: 2, ...pace };
}

function newSelector(): TargetSelector {
	const view = new FleetView(() => 'r');
	view.apply(
		{
			changes: {
				revision: 2,
				isWhole: true,
				halls: [],
				targets: Array.from({ length: TARGETS }, (_, i) => describeTarget(i))
			},
			controls: [],
			contactAgeMs: 0,
			hasHeardAll: true,
			entryCount: ENTRIES.length,
			regionEntries: ENTRIES,
			hallPeers: [],
			limitSenders: ENTRIES.map(name => ({ name, address: name })),
			silentTargets: [],
			coldTargets: [],
			crowdedTargets: [],
			demand: {}
		},
		1
	);
	const share = new PaceShare('e-0', () => 0);
	const place = { name: 'e-0', hall: 'h', region: 'r' };
	const shifts = { maxMovedFraction: 0.15, windowMs: 2000 };
	return new TargetSelector(view, place, ['r'], shifts, share, new TargetLimitTable(view, share));
}

function requestWithDeniedPermits(permitsDenied: number): PlacementRequest {
	return {
		exchange: { objectKey: 'o', requestId: 'q', isDisconnected: false },
		route: ROUTE,
		homeRegions: [],
		service: 's',
		tried: new Set<string>(),
		refusals: 0,
		permitsDenied,
		attempts: []
	} as unknown as PlacementRequest;
}

test('after two denied permits a request asks for no more and the rate limit is reported', () => {
	const selector = newSelector();
	assert.ok(selector.choose(requestWithDeniedPermits(1), NOW));
	assert.equal(selector.choose(requestWithDeniedPermits(2), NOW), undefined);
	const capacity = selector.nextCapacity(requestWithDeniedPermits(2), NOW);
	assert.equal(capacity?.cause, NotRunCause.RateLimited);
	// Six targets with two requests per second each, shared by the callers of three instances.
	assert.equal(capacity.intervalMs, 250);
});

test('retries are spaced, and a caller whose deadline is before the next permit reserves none', () => {
	const scheduler = new RetryAfterScheduler();
	const capacity = { at: 1000, intervalMs: 250 };
	assert.deepEqual(
		[3000, 3000, 3000, 1600, 3000].map(deadline => scheduler.after(capacity, deadline)),
		[1000, 1250, 1500, 1600, 1750]
	);
	assert.equal(scheduler.after({ at: 9000, intervalMs: 0 }, 20000), 9000);
});
