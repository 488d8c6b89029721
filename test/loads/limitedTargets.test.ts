/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * A third of the targets name a limit of 0.3 times what a target gets on average, for nine seconds, and one in ten calls between instances is
 * lost. With 66 instances each of which keeps to the whole limit by itself, such a target got 7.6 times the limit in 4 s; where only the two
 * senders send, a fourth of the limit was used, since callers come to all instances.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetModel, type ReplayReport } from './fleetModel.js';

const WARM_MS = 6000;
const LIMITED_MS = 9000;
const END_MS = 18000;
const RATE = 700;
const TARGETS = { north: 60, central: 60, south: 60 };
const PER_SECOND = (0.3 * RATE) / 180;
/** What may reach a target in 4 s: what the limit allows, and a request for each sender. */
const MOST = 4 * PER_SECOND + 2;
/** Part of a limit that is to be used while there is need for it. */
const LEAST_USED = 0.8;

function replay(seed: number): ReplayReport {
	const model = new FleetModel({
		seed,
		targets: TARGETS,
		instances: 66,
		objects: 160,
		rate: RATE,
		comesBackMs: 300,
		objectiveMs: 900,
		target: { slots: 9, queueLength: 27, keptObjects: 20, firstMs: 1150, laterMs: 345 },
		registrationMs: 2000,
		lostCalls: 0.1
	});
	const setThird = (perSecond: number | undefined): void =>
		[...model.targets.values()].forEach((target, i) => {
			if (i % 3 === 0) {
				model.setLimit(target, perSecond);
			}
		});
	model.afterStart(WARM_MS, () => setThird(PER_SECOND));
	model.afterStart(WARM_MS + LIMITED_MS, () => setThird(undefined));
	return model.replay(END_MS);
}

test('a third of the targets name limits: the sum over all instances keeps to them, they are used, and nothing is refused', () => {
	for (const seed of [1, 2]) {
		const report = replay(seed);
		const most = report.mostOfLimit * 4 * PER_SECOND;
		assert.ok(most <= MOST, `${most} requests in 4 s at ${PER_SECOND} a second`);
		assert.ok(report.usedOfLimit >= LEAST_USED, `${report.usedOfLimit} of the limits used`);
		assert.ok(report.refused < 0.002 * report.requests, `${report.refused} of ${report.requests} refused`);
		assert.ok(report.inTime > 0.93 * report.requests, `${report.inTime} of ${report.requests} in time`);
	}
});
