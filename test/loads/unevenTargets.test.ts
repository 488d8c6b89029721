/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Targets that change their speed several times a second, with objectives shorter than a cache miss. Guards against a choice
 * that follows the speed and moves objects, and against any change where targets do not report how long work takes.
 */

import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { test } from 'node:test';
import { FleetModel } from './fleetModel.js';
import type { FleetModelSettings } from './fleetModelTypes.js';
import { createUnevenFleet, selectWithFullKnowledge, selectWithTwoCopies, UNEVEN_FLEET } from './unevenTargetsModel.js';

const DURATION_MS = 24000;
/** Most objects have been requested by then. */
const SETTLED_MS = 12000;
/** Duration of the speed of a target in the replay of quick changes. */
const QUICK_PHASE_MS = 600;
/** What instances know of the route's work. */
const WORK_TIMES = {
	hitMs: UNEVEN_FLEET.target.hitMs,
	missMs: UNEVEN_FLEET.target.missMs,
	slowHitMs: 2.5 * UNEVEN_FLEET.target.hitMs
};
const USUAL_RATE = UNEVEN_FLEET.requestsPerSecond;
const PEAK_RATE = 1100;

const SEEDS = [1, 2, 3];

/** Fraction of the requests that are answered in time, as the mean over the seeds, once most objects have been requested. */
function inTimeRatio(requestsPerSecond: number, changes: Partial<FleetModelSettings>): number {
	const counts = SEEDS.flatMap(seed => {
		const settings = { ...UNEVEN_FLEET, seed, requestsPerSecond, workTimes: WORK_TIMES, ...changes };
		const { inTimeBySecond } = createUnevenFleet(settings, DURATION_MS, QUICK_PHASE_MS).simulate(DURATION_MS);
		return inTimeBySecond.slice(SETTLED_MS / 1000, DURATION_MS / 1000);
	});
	const seconds = (SEEDS.length * (DURATION_MS - SETTLED_MS)) / 1000;
	return counts.reduce((sum, count) => sum + count, 0) / (seconds * requestsPerSecond);
}

/** Rates with the decider with full knowledge that is best there. */
const RATES = [
	{ rate: USUAL_RATE, selectById: selectWithTwoCopies(UNEVEN_FLEET.objectiveMs) },
	{ rate: PEAK_RATE, selectById: selectWithFullKnowledge(UNEVEN_FLEET.objectiveMs) }
];

for (const { rate, selectById } of RATES) {
	test(`${rate} requests per second: in time nearly as often as with full knowledge of all targets`, context => {
		const known = inTimeRatio(rate, { selectById });
		const chosen = inTimeRatio(rate, {});
		const measured = `${chosen.toFixed(3)} in time, ${known.toFixed(3)} with full knowledge`;
		context.diagnostic(measured);
		assert.ok(chosen >= 0.9 * known, measured);
	});
}

/** Rates above what the targets can serve, and the time for which the callers wait. */
const OVERLOADS = [1800, 2600];
const OVERLOAD_TIMEOUT_MS = 2500;

for (const requestsPerSecond of OVERLOADS) {
	test(`overload with ${requestsPerSecond} requests per second: hardly any work is in vain`, context => {
		const settings = {
			...UNEVEN_FLEET,
			seed: 1,
			requestsPerSecond,
			timeoutMs: OVERLOAD_TIMEOUT_MS,
			callerRetryMs: 100,
			workTimes: WORK_TIMES
		};
		const report = createUnevenFleet(settings, 2 * DURATION_MS, QUICK_PHASE_MS).simulate(14000);
		const vainRatio = report.inVain / (report.inTime + report.late);
		const inTime = report.inTimeBySecond.slice(5, 14).reduce((sum, count) => sum + count, 0) / 9;
		const measured = `${vainRatio.toFixed(4)} of the runs in vain, ${inTime.toFixed(0)} per second in time`;
		context.diagnostic(measured);
		assert.ok(vainRatio <= 0.01, measured);
		assert.ok(inTime >= USUAL_RATE, measured);
	});
}

/** Arrivals and cache misses by target, and the totals, of a replay with refusals, spills, backoff and overload. */
function fingerprint(reportsWorkTime: boolean): string {
	const model = new FleetModel({
		seed: 5,
		targets: UNEVEN_FLEET.targets,
		instances: 30,
		objectsPerRegion: UNEVEN_FLEET.objectsPerRegion,
		requestsPerSecond: USUAL_RATE,
		loadFactor: sinceMs => (sinceMs >= 3000 && sinceMs < 6000 ? 1.8 : 1),
		callerRetryMs: 100,
		objectiveMs: UNEVEN_FLEET.objectiveMs,
		keylessRatio: 0.05,
		target: { ...UNEVEN_FLEET.target, reportsWorkTime },
		workTimes: WORK_TIMES,
		registrationMs: 2000
	});
	model.afterStart(2000, () =>
		[...model.targets.values()].forEach((target, i) => {
			target.shedRatio = i % 9 === 0 ? 0.3 : 0;
			target.backoffMs = i % 11 === 0 ? 800 : 0;
		})
	);
	const { requests, inTime, late, refused, rejected } = model.simulate(8000);
	const byTarget = [...model.targets.values()].map(({ arrivals, cacheMisses }) => [arrivals, cacheMisses]);
	return createHash('sha256')
		.update(JSON.stringify([byTarget, requests, inTime, late, refused, rejected]))
		.digest('hex');
}

/** Recorded with the choice that knows no work times. */
const FINGERPRINT_WITHOUT_WORK_TIMES = '6c534f7752d848831d8cfaaa46cdfba29f1e3ac07345891db91b61fc41c52984';

test('where targets report three figures the choices are those that were recorded without work times', () => {
	assert.equal(fingerprint(false), FINGERPRINT_WITHOUT_WORK_TIMES);
	assert.notEqual(fingerprint(true), FINGERPRINT_WITHOUT_WORK_TIMES, 'the replay tells the choices apart');
});
