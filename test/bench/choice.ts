/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * What the choice of a target costs: `npm run bench:choice`. Fleets of three sizes, without limits and with a limit on each target; microseconds a
 * choice, the median of several rounds on one core.
 */

import type { Millis } from '../../src/base/clock.js';
import { FleetView } from '../../src/plugins/fleet/common/fleetView.js';
import { TargetPhase, type TargetRecord } from '../../src/plugins/fleet/common/fleetTypes.js';
import { PaceShare } from '../../src/plugins/fleet/common/paceShare.js';
import type { SyncResponse } from '../../src/plugins/fleet/common/fleetWire.js';
import { TargetSelector } from '../../src/plugins/forwarding/node/placement/targetSelector.js';
import type { RequestContext } from '../../src/plugins/forwarding/node/requestContext.js';
import { TargetLimitTable } from '../../src/plugins/limits/common/targetLimitTable.js';
import { RepeatRule, type Route } from '../../src/plugins/routes/common/routeTable.js';

const SIZES: readonly number[] = [36, 163, 552];
const REGIONS: readonly string[] = ['north', 'central', 'south'];
const CHOICES = 4000;
const ROUNDS = 9;
const OBJECTS = 300;
const NAME = 'entry-0';
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

function describeTarget(index: number, limitPerSecond: number | undefined): TargetRecord {
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
		pacedSenders: [NAME],
		...(limitPerSecond === undefined ? {} : { limitPerSecond })
	};
}

function responseWith(targets: readonly TargetRecord[]): SyncResponse {
	const service = { name: SERVICE, healthPath: '/', maxConnections: 1000, coldStartMs: 0, coldPerSecond: 5 };
	const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
	const table = { version: 1, routes: [], services: [service], teams: undefined, limits };
	return {
		changes: { revision: 2, isWhole: true, published: { table, changedAt: 1 }, halls: [], targets },
		controls: [],
		contactAgeMs: 0,
		hasHeardAll: true,
		entryCount: 9,
		regionEntries: [NAME],
		hallPeers: [],
		limitSenders: [],
		silentTargets: [],
		coldTargets: [],
		crowdedTargets: [],
		demand: { [SERVICE]: Object.fromEntries(REGIONS.map(region => [region, targets.length])) }
	};
}

function newSelector(targets: number, limitPerSecond: number | undefined): TargetSelector {
	const view = new FleetView(hall => hall);
	view.apply(responseWith(Array.from({ length: targets }, (_, i) => describeTarget(i, limitPerSecond))), 1);
	const share = new PaceShare(NAME, () => 0);
	const place = { name: NAME, hall: 'north', region: 'north' };
	const shifts = { maxMovedFraction: 0.15, windowMs: 2000 };
	return new TargetSelector(view, place, REGIONS, shifts, share, new TargetLimitTable(view, share));
}

function newJourney(index: number): RequestContext {
	return {
		exchange: { objectKey: `o-${index % OBJECTS}`, requestId: `r-${index}`, isDisconnected: false },
		route: ROUTE,
		homeRegions: [],
		service: SERVICE,
		tried: new Set<string>(),
		refusals: 0,
		permitsDenied: 0,
		attempts: []
	} as unknown as RequestContext;
}

/** @returns microseconds a choice */
function timeRound(selector: TargetSelector, now: Millis): number {
	const startedAt = performance.now();
	for (let i = 0; i < CHOICES; i++) {
		selector.choose(newJourney(i), now + i / 100);
	}
	return ((performance.now() - startedAt) * 1000) / CHOICES;
}

for (const targets of SIZES) {
	for (const limitPerSecond of [undefined, 1000]) {
		const selector = newSelector(targets, limitPerSecond);
		const rounds = Array.from({ length: ROUNDS }, (_, i) => timeRound(selector, 1000 + i * 50)).sort((a, b) => a - b);
		const [least, median, most] = [rounds[0]!, rounds[ROUNDS >> 1]!, rounds[ROUNDS - 1]!].map(us => us.toFixed(1));
		const what = limitPerSecond === undefined ? 'no limits' : 'a limit on each target';
		process.stdout.write(`${targets} targets, ${what}: ${median} µs a choice (${least} to ${most})\n`);
	}
}
