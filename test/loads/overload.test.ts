/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * All callers send 1.5, 2 and 2.6 times as much for twelve seconds, and come back once where they are refused. Queues of three
 * times the slots delay every answer beyond its objective: the targets are busy all the time with answers that come late. While
 * targets that an instance had not met of late counted as empty, 130 answers a second came in time in the last six seconds of
 * 2.6 times the requests, and 380 a second before.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetModel, type ReplayReport } from './fleetModel.js';

const SURGE_FROM_MS = 6000;
const SURGE_TO_MS = 18000;
/** By then queues have had time to fill. */
const SETTLED_MS = 12000;
const END_MS = 26000;

function replay(seed: number, factor: number): ReplayReport {
	return new FleetModel({
		seed,
		targets: { south: 60 },
		instances: 22,
		objects: 400,
		rate: 390,
		surge: sinceMs => (sinceMs >= SURGE_FROM_MS && sinceMs < SURGE_TO_MS ? factor : 1),
		comesBackMs: 100,
		objectiveMs: 800,
		target: { slots: 6, queueLength: 18, keptObjects: 20, firstMs: 1150, laterMs: 345 },
		registrationMs: 2000
	}).replay(END_MS);
}

/** Answers in time a second, on average over some seconds. */
function rateOf({ inTimeBySecond }: ReplayReport, fromMs: number, toMs: number): number {
	const seconds = inTimeBySecond.slice(fromMs / 1000, toMs / 1000);
	return seconds.reduce((sum, count) => sum + count, 0) / seconds.length;
}

for (const factor of [1.5, 2, 2.6]) {
	test(`${factor} times the usual requests: no fewer answers in time than before`, () => {
		const report = replay(1, factor);
		const usual = rateOf(report, 3000, SURGE_FROM_MS);
		const surge = rateOf(report, SETTLED_MS, SURGE_TO_MS);
		const after = rateOf(report, SURGE_TO_MS + 3000, END_MS);
		assert.ok(surge >= usual, `${surge.toFixed(0)} a second, ${usual.toFixed(0)} before`);
		assert.ok(after >= 0.9 * usual, `${after.toFixed(0)} a second afterwards, ${usual.toFixed(0)} before`);
	});
}
