/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * All callers send more requests than the targets can serve for twelve seconds, and retry once when refused. Guards against congestion collapse:
 * long queues keep all targets busy with responses that miss their objective.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetModel } from './fleetModel.js';
import type { SimulationReport } from './fleetModelTypes.js';

const OVERLOAD_START_MS = 6000;
const OVERLOAD_END_MS = 18000;
/** Queues are full by then. */
const SETTLED_MS = 12000;
const END_MS = 26000;

function simulate(seed: number, factor: number): SimulationReport {
	return new FleetModel({
		seed,
		targets: { south: 60 },
		instances: 22,
		objectsPerRegion: 400,
		requestsPerSecond: 390,
		loadFactor: sinceMs => (sinceMs >= OVERLOAD_START_MS && sinceMs < OVERLOAD_END_MS ? factor : 1),
		callerRetryMs: 100,
		objectiveMs: 800,
		target: { slots: 6, queueLength: 18, cacheSize: 20, missMs: 1150, hitMs: 345 },
		registrationMs: 2000
	}).simulate(END_MS);
}

/** Mean number of responses in time per second over a period. */
function inTimePerSecond({ inTimeBySecond }: SimulationReport, fromMs: number, toMs: number): number {
	const seconds = inTimeBySecond.slice(fromMs / 1000, toMs / 1000);
	return seconds.reduce((sum, count) => sum + count, 0) / seconds.length;
}

for (const factor of [1.5, 2, 2.6]) {
	test(`${factor} times the usual load: no fewer responses in time than before, and nearly as many afterwards`, () => {
		const report = simulate(1, factor);
		const before = inTimePerSecond(report, 3000, OVERLOAD_START_MS);
		const during = inTimePerSecond(report, SETTLED_MS, OVERLOAD_END_MS);
		const after = inTimePerSecond(report, OVERLOAD_END_MS + 3000, END_MS);
		assert.ok(during >= before, `${during.toFixed(0)} per second, ${before.toFixed(0)} before`);
		assert.ok(after >= 0.9 * before, `${after.toFixed(0)} per second afterwards, ${before.toFixed(0)} before`);
	});
}
