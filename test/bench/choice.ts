/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * `npm run bench:choice`: measures target selection in microseconds per selection, as the median of several rounds on one
 * core, for four fleet sizes: without limits, with a limit on each target, and with targets that report how long work takes.
 */

import type { Millis } from '../../src/base/clock.js';
import { FleetView } from '../../src/plugins/fleet/common/fleetView.js';
import { TargetPhase, type TargetRecord } from '../../src/plugins/fleet/common/fleetTypes.js';
import { PaceShare } from '../../src/plugins/fleet/common/paceShare.js';
import type { SyncResponse } from '../../src/plugins/fleet/common/fleetWire.js';
import { TargetSelector } from '../../src/plugins/placement/common/targetSelector.js';
import type { RequestContext } from '../../src/plugins/forwarding/node/requestContext.js';
import { TargetLimitTable } from '../../src/plugins/limits/common/targetLimitTable.js';
import { RepeatRule, type Route } from '../../src/plugins/routes/common/routeTable.js';

const TARGET_COUNTS: readonly number[] = [36, 163, 300, 552];
const REGIONS: readonly string[] = ['north', 'central', 'south'];
const CHOICES_PER_ROUND = 4000;
const ROUND_COUNT = 9;
const OBJECT_COUNT = 300;
const ENTRY_NAME = 'entry-0';
const SERVICE = 'reads';

const ROUTE: Route = {
	name: 'reads',
	host: 'h',
	pathPrefix: '/reads/',
	repeatRule: RepeatRule.Repeatable,
	timeoutMs: 10000,
	objectiveMs: 2000,
	rank: 1,
	parts: [{ service: SERVICE, weight: 1 }],
	attempts: 2,
	isSticky: true,
	homeRegions: [],
	isPublic: true
};

function createTargetRecord(index: number, limitPerSecond: number | undefined): TargetRecord {
	return {
		id: `i-${index}`,
		bornAt: 0,
		service: SERVICE,
		address: `127.0.0.1:${index + 1}`,
		hall: REGIONS[index % REGIONS.length]!,
		version: 'v',
		slots: 9,
		phase: TargetPhase.Serving,
		changedAt: 2,
		pacedSenders: [ENTRY_NAME],
		...(limitPerSecond === undefined ? {} : { limitPerSecond })
	};
}

function createSyncResponse(targets: readonly TargetRecord[]): SyncResponse {
	const service = { name: SERVICE, healthPath: '/', maxConnections: 1000, coldStartMs: 0, coldPerSecond: 5 };
	const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
	const table = { version: 1, routes: [], services: [service], teams: undefined, limits };
	return {
		changes: { revision: 2, isWhole: true, published: { table, changedAt: 1 }, halls: [], targets },
		controls: [],
		contactAgeMs: 0,
		hasHeardAll: true,
		entryCount: 9,
		regionEntries: [ENTRY_NAME],
		hallPeers: [],
		limitSenders: [],
		silentTargets: [],
		coldTargets: [],
		crowdedTargets: [],
		demand: { [SERVICE]: Object.fromEntries(REGIONS.map(region => [region, targets.length])) }
	};
}

function createSelector(targetCount: number, limitPerSecond: number | undefined): TargetSelector {
	const view = new FleetView(hall => hall);
	view.apply(
		createSyncResponse(Array.from({ length: targetCount }, (_, i) => createTargetRecord(i, limitPerSecond))),
		1
	);
	const share = new PaceShare(ENTRY_NAME, () => 0);
	const location = { name: ENTRY_NAME, hall: 'north', region: 'north' };
	const shifts = { maxMovedFraction: 0.15, windowMs: 2000 };
	return new TargetSelector(view, location, REGIONS, shifts, share, new TargetLimitTable(view, share));
}

function createRequestContext(index: number): RequestContext {
	return {
		exchange: { objectKey: `o-${index % OBJECT_COUNT}`, requestId: `r-${index}`, isDisconnected: false },
		route: ROUTE,
		homeRegions: [],
		service: SERVICE,
		tried: new Set<string>(),
		refusals: 0,
		permitsDenied: 0,
		attempts: []
	} as unknown as RequestContext;
}

/**
 * Returns the mean time of one selection, in microseconds.
 * @param workTimeFactor reported by each selected target; undefined for none
 */
function measureRound(selector: TargetSelector, now: Millis, workTimeFactor: number | undefined): number {
	const startedAt = performance.now();
	for (let i = 0; i < CHOICES_PER_ROUND; i++) {
		const chosen = selector.choose(createRequestContext(i), now + i / 100);
		if (workTimeFactor !== undefined) {
			chosen?.state.applyLoadReport({ running: 1, waiting: 0, slots: 9, workTimeFactor }, now + i / 100);
			chosen?.state.recordResponse(100, 100, now + i / 100);
		}
	}
	return ((performance.now() - startedAt) * 1000) / CHOICES_PER_ROUND;
}

interface Variant {
	readonly name: string;
	readonly limitPerSecond?: number;
	readonly workTimeFactor?: number;
}

const VARIANTS: readonly Variant[] = [
	{ name: 'no limits' },
	{ name: 'a limit on each target', limitPerSecond: 1000 },
	{ name: 'work times reported', workTimeFactor: 1 }
];

for (const targetCount of TARGET_COUNTS) {
	for (const { name, limitPerSecond, workTimeFactor } of VARIANTS) {
		const selector = createSelector(targetCount, limitPerSecond);
		const rounds = Array.from({ length: ROUND_COUNT }, (_, i) => measureRound(selector, 1000 + i * 50, workTimeFactor));
		rounds.sort((a, b) => a - b);
		const [min, median, max] = [rounds[0]!, rounds[ROUND_COUNT >> 1]!, rounds[ROUND_COUNT - 1]!].map(us =>
			us.toFixed(1)
		);
		process.stdout.write(`${targetCount} targets, ${name}: ${median} µs a choice (${min} to ${max})\n`);
	}
}
