/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Callers of several ranks and teams ask for more than twice what the targets can do. Guards against urgent requests that are refused as often
 * as others, a small team displaced by a large one, and slots that stand free meanwhile.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RankedAdmission } from '../../src/plugins/admission/common/rankedAdmission.js';
import { type IShortageAdmission, UnrankedAdmission } from '../../src/plugins/admission/common/shortageAdmission.js';
import { FleetModel } from './fleetModel.js';
import type { CallerGroup, SimulationReport } from './fleetModelTypes.js';
import type { TargetModel } from './targetModel.js';

const URGENT = { team: 0, route: 0 };
const LESS_URGENT = { team: 0, route: 2 };
/** Requests per second that the targets of three instances can serve: two targets of 4 slots, 100 ms a request. */
const CAPACITY = 80;
const END_MS = 20000;
const LOST_AT_MS = 15000;

const RANKS: readonly CallerGroup[] = [
	{ name: 'urgent', rank: URGENT, requestsPerSecond: 40 },
	{ name: 'less urgent', rank: LESS_URGENT, requestsPerSecond: 160 }
];
const TEAMS: readonly CallerGroup[] = [
	{ name: 'small', rank: URGENT, teamName: 'small', requestsPerSecond: 20 },
	{ name: 'large', rank: URGENT, teamName: 'large', requestsPerSecond: 160 }
];
const RANKS_AND_TEAMS: readonly CallerGroup[] = [
	{ name: 'small, urgent', rank: URGENT, teamName: 'small', requestsPerSecond: 10 },
	{ name: 'large, urgent', rank: URGENT, teamName: 'large', requestsPerSecond: 30 },
	{ name: 'small', rank: LESS_URGENT, teamName: 'small', requestsPerSecond: 15 },
	{ name: 'large', rank: LESS_URGENT, teamName: 'large', requestsPerSecond: 130 }
];

interface Load {
	readonly callers: readonly CallerGroup[];
	readonly instances: number;
	readonly keylessRatio?: number;
	/** Factor on all request rates. */
	readonly factor?: number;
	readonly createAdmission?: () => IShortageAdmission;
}

/** Simulates a load, with the same requests and targets per instance whatever their number. */
function simulate({ callers, instances, keylessRatio = 1, factor = 1, createAdmission }: Load): SimulationReport {
	const scale = (instances / 3) * factor;
	const groups = callers.map(group => ({ ...group, requestsPerSecond: group.requestsPerSecond * scale }));
	return new FleetModel({
		seed: 1,
		targets: { south: Math.round((instances * 2) / 3) },
		instances,
		objectsPerRegion: 200 * instances,
		requestsPerSecond: groups.reduce((sum, { requestsPerSecond }) => sum + requestsPerSecond, 0),
		objectiveMs: 400,
		target: { slots: 4, queueLength: 16, cacheSize: 1e6, missMs: 100, hitMs: 100 },
		keylessRatio,
		groups,
		createAdmission: createAdmission ?? (() => new RankedAdmission(() => 0.5))
	}).simulate(END_MS);
}

function inTimeRatio(report: SimulationReport, name: string): number {
	const { inTime, requests } = report.groups[name]!;
	return inTime / requests;
}

/** Asserts that groups are served in time at least at this ratio, and that slots are used as much. */
function assertServed(report: SimulationReport, names: readonly string[], minimum: number): void {
	for (const name of names) {
		const ratio = inTimeRatio(report, name);
		assert.ok(ratio >= minimum, `${name}: ${ratio.toFixed(3)} in time`);
	}
	assert.ok(report.slotsUsed >= minimum, `${report.slotsUsed.toFixed(3)} of the slots used`);
}

for (const instances of [3, 9]) {
	test(`${instances} instances: urgent requests are served before less urgent ones, and no slot stands free`, () => {
		assertServed(simulate({ callers: RANKS, instances }), ['urgent'], 0.95);
	});

	test(`${instances} instances: a small team is served beside a large one, and no slot stands free`, () => {
		assertServed(simulate({ callers: TEAMS, instances }), ['small'], 0.95);
	});

	test(`${instances} instances: ranks decide first, then shares of teams within each rank`, () => {
		const report = simulate({ callers: RANKS_AND_TEAMS, instances });
		assertServed(report, ['small, urgent', 'large, urgent', 'small'], 0.95);
	});

	test(`${instances} instances, requests for objects: ranks decide, although a busy target cannot be avoided`, () => {
		assertServed(simulate({ callers: RANKS, instances, keylessRatio: 0 }), ['urgent'], 0.95);
	});

	test(`${instances} instances, requests for objects: shares decide, although a busy target cannot be avoided`, () => {
		assertServed(simulate({ callers: TEAMS, instances, keylessRatio: 0 }), ['small'], 0.95);
	});
}

test('65 instances: ranks and shares of teams decide by what each instance sees itself', () => {
	const report = simulate({ callers: RANKS_AND_TEAMS, instances: 65 });
	assertServed(report, ['small, urgent', 'large, urgent', 'small'], 0.95);
});

test('urgent requests alone exceed the capacity: less urgent ones still get a part of their own', () => {
	const callers = [
		{ name: 'urgent', rank: URGENT, requestsPerSecond: 2 * CAPACITY },
		{ name: 'less urgent', rank: LESS_URGENT, requestsPerSecond: CAPACITY / 2 }
	];
	const report = simulate({ callers, instances: 9 });
	const all = (inTimeRatio(report, 'urgent') * 4 + inTimeRatio(report, 'less urgent')) / 5;
	assert.ok(inTimeRatio(report, 'less urgent') >= all / 5, `${inTimeRatio(report, 'less urgent')} of ${all}`);
	assert.ok(inTimeRatio(report, 'urgent') >= inTimeRatio(report, 'less urgent'));
});

test('a little more is asked than targets can do: the least urgent requests pay for it', () => {
	const report = simulate({ callers: RANKS, instances: 9, factor: (1.15 * CAPACITY) / 200 });
	assertServed(report, ['urgent'], 0.95);
});

test('targets have free slots: all requests are served as without ranks', () => {
	const load = { callers: RANKS_AND_TEAMS, instances: 9, factor: (0.7 * CAPACITY) / 185 };
	assert.deepEqual(simulate(load), simulate({ ...load, createAdmission: () => new UnrankedAdmission() }));
});

/** Half of the targets are lost for five seconds and return without their objects, at 0.8 of the slots. */
function simulateLoss(createAdmission: () => IShortageAdmission): SimulationReport {
	const requestsPerSecond = 0.8 * 20 * (4 / 0.24);
	const model = new FleetModel({
		seed: 1,
		targets: { south: 20 },
		instances: 12,
		objectsPerRegion: 400,
		requestsPerSecond,
		loadFactor: sinceMs => Math.min(1, 0.4 + sinceMs / 13000),
		callerRetryMs: 100,
		objectiveMs: 625,
		target: { slots: 4, queueLength: 12, cacheSize: 1e6, missMs: 800, hitMs: 240 },
		groups: [
			{ name: 'urgent', rank: URGENT, requestsPerSecond: requestsPerSecond / 4 },
			{ name: 'less urgent', rank: LESS_URGENT, requestsPerSecond: (requestsPerSecond * 3) / 4 }
		],
		createAdmission
	});
	const lost = (): readonly TargetModel[] => model.targetsIn('south').filter((_, i) => i % 2 === 0);
	model.afterStart(LOST_AT_MS, () => lost().forEach(target => (target.shedRatio = 1)));
	model.afterStart(LOST_AT_MS + 5000, () =>
		lost().forEach(target => {
			target.shedRatio = 0;
			target.forgetObjects();
		})
	);
	return model.simulate(30000);
}

test('half of the targets are lost for a time: no fewer requests are served in time than without ranks, and more of the urgent ones', () => {
	const alike = simulateLoss(() => new UnrankedAdmission());
	const ranked = simulateLoss(() => new RankedAdmission(() => 0.5));
	const inTime = ({ inTimeBySecond }: SimulationReport, fromMs: number, toMs: number): number =>
		inTimeBySecond.slice(fromMs / 1000, toMs / 1000).reduce((sum, count) => sum + count, 0);
	for (const from of [LOST_AT_MS + 1000, LOST_AT_MS + 5000]) {
		const counts = [ranked, alike].map(report => inTime(report, from, from + 4000));
		assert.ok(counts[0]! >= 0.85 * counts[1]!, `${counts.join(', without ranks ')}`);
	}
	assert.ok(ranked.inTime >= 0.98 * alike.inTime, `${ranked.inTime}, without ranks ${alike.inTime}`);
	assert.ok(inTimeRatio(ranked, 'urgent') > inTimeRatio(alike, 'urgent') + 0.02);
});
