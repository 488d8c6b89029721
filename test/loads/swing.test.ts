/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Demand that swings in three regions, a third of a period apart, so that its sum is steady. One region has a third of the
 * callers and a tenth of the targets. Cache hits fit by far; cache misses of moved objects do not.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetModel } from './fleetModel.js';
import type { FleetModelSettings, SimulationReport } from './fleetModelTypes.js';

const PERIOD_MS = 36000;
const SIMULATED_MS = 48000;
const REGIONS = ['east', 'north', 'south'];
const SLOTS = 9;
const TARGETS = { east: 8, north: 36, south: 36 };
const HIT_MS = 300;
/** Part of all slots that the requests need while their objects are cached. */
const UTILIZATION = 0.38;

const SEEDS = [1, 2];

function swing(region: string, sinceStartMs: number): number {
	return 1 + 0.55 * Math.sin(2 * Math.PI * (sinceStartMs / PERIOD_MS - REGIONS.indexOf(region) / 3));
}

/** Three quarters of the callers of one of the region's two halls arrive in another region for seven seconds. */
function shiftHall(region: string, sinceStartMs: number, randomValue: number): string {
	const isShifted = region === 'south' && sinceStartMs > 16000 && sinceStartMs < 23000 && randomValue < 0.375;
	return isShifted ? 'east' : region;
}

function simulate(seed: number, load: Partial<FleetModelSettings>): SimulationReport {
	const slots = SLOTS * Object.values(TARGETS).reduce((sum, count) => sum + count, 0);
	return new FleetModel({
		seed,
		targets: TARGETS,
		instances: 24,
		objectsPerRegion: 420,
		objectSkew: 2,
		requestsPerSecond: (UTILIZATION * slots * 1000) / HIT_MS,
		regionFactor: swing,
		objectiveMs: 1000,
		steadyAfterMs: 10000,
		target: {
			slots: SLOTS,
			queueLength: 27,
			cacheSize: 22,
			missMs: 3.3 * HIT_MS,
			hitMs: HIT_MS,
			reportsWorkTime: true
		},
		registrationMs: 2000,
		...load
	}).simulate(SIMULATED_MS);
}

function assertServed({ requests, refused, maxMovedFraction }: SimulationReport): void {
	assert.ok(refused / requests <= 0.01, `${refused} of ${requests} refused`);
	assert.ok(maxMovedFraction <= 0.15, `${maxMovedFraction.toFixed(3)} changed their region between windows`);
}

function cacheMisses(reports: readonly SimulationReport[]): number {
	return reports.reduce((sum, report) => sum + report.laterCacheMisses, 0);
}

test('a swing of demand causes hardly more cache misses than a steady demand', () => {
	const swinging = SEEDS.map(seed => simulate(seed, {}));
	swinging.forEach(assertServed);
	const steady = SEEDS.map(seed => simulate(seed, { regionFactor: () => 1 }));
	const ratio = cacheMisses(swinging) / cacheMisses(steady);
	assert.ok(ratio <= 1.2, `${ratio.toFixed(2)} times the cache misses of a steady demand`);
});

test('callers of a hall that arrive in another region for some seconds are served there', () => {
	SEEDS.forEach(seed => assertServed(simulate(seed, { entryRegion: shiftHall })));
});
