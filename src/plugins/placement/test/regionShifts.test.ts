/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Bounds on how many requests change their region between windows, over all instances of a region. Guards against moves that
 * bypass the paced shares: unbounded spilling during a surge, transient views of the fleet, new route tables and restarts.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '../../../base/clock.js';
import { WINDOW_MS } from './regionCounts.js';
import { MAX_MOVED_FRACTION, SimulatedRegion } from './simulatedRegion.js';
import { REGIONS, SMALL_SYSTEM } from './simulatedSizes.js';

const WARMUP_MS = 10000;
/** Digest of the choices of a simulation whose shares follow the present demand. */
const RECORDED_CHOICES = '420f5ad9a1bd8397';

function warmedUpSimulation(workTimeFactor?: number): SimulatedRegion {
	const simulation = new SimulatedRegion(workTimeFactor);
	simulation.run(WARMUP_MS);
	return simulation;
}

function assertBoundOfAll(simulation: SimulatedRegion, since: Millis): void {
	const moved = simulation.counts.maxMovedFractionOfAll(since);
	assert.ok(moved <= MAX_MOVED_FRACTION, `${moved.toFixed(3)} changed their region from one window to the next`);
}

/** Every other id, starting with the first or the second one. */
function halfOf(ids: readonly string[], offset: number): string[] {
	return ids.filter((_, i) => i % 2 === offset % 2);
}

function assertBound(simulation: SimulatedRegion, since: Millis): void {
	const moved = simulation.counts.maxMovedFraction(since);
	assert.ok(moved <= MAX_MOVED_FRACTION, `${moved.toFixed(3)} changed their region from one window to the next`);
}

/** Lets the callers' rate rise and fall abruptly; returns the simulation and the start of the surge. */
function surge(workTimeFactor?: number): [SimulatedRegion, Millis] {
	const simulation = warmedUpSimulation(workTimeFactor);
	const since = simulation.now;
	simulation.loadFactor = 4;
	simulation.run(3000);
	simulation.loadFactor = 1;
	simulation.run(6000);
	return [simulation, since];
}

/** Changes the service of a route and then its weights; returns the simulation and the time of the first change. */
function routeChanges(workTimeFactor?: number): [SimulatedRegion, Millis] {
	const simulation = warmedUpSimulation(workTimeFactor);
	const since = simulation.now;
	const setWeights = (reads: number): void => {
		const parts = [
			{ service: 'reads', weight: reads },
			{ service: 'commands', weight: 100 - reads }
		];
		simulation.routeParts = { '/reads/': parts, '/commands/': [{ service: 'commands', weight: 1 }] };
		simulation.change();
	};
	setWeights(0);
	simulation.run(8000);
	setWeights(95);
	simulation.run(8000);
	return [simulation, since];
}

for (const [label, workTimeFactor] of [
	['', undefined],
	[', with shares that hold still', 1]
] as const) {
	test(`targets of a region that are wrongly reported as silent move no more requests than the bound${label}`, () => {
		const simulation = warmedUpSimulation(workTimeFactor);
		const since = simulation.now;
		simulation.targetsOf('north').forEach(id => simulation.silent.add(id));
		simulation.run(600);
		simulation.silent.clear();
		simulation.run(8000);
		assertBound(simulation, since);
	});

	test(`a surge that begins and ends abruptly moves no more requests than the bound${label}`, () => {
		assertBoundOfAll(...surge(workTimeFactor));
	});

	test(`a route whose service or weights change moves no more requests than the bound${label}`, () => {
		assertBoundOfAll(...routeChanges(workTimeFactor));
	});

	test(`when the targets of a region are lost its requests move at once, and return within the bound${label}`, () => {
		const simulation = warmedUpSimulation(workTimeFactor);
		const before = simulation.counts.shares(WINDOW_MS);
		assert.ok(before['north']! > 0.15, `${before['north']}`);
		const lost = simulation.targetsOf('north');
		lost.forEach(id => simulation.unreachable.add(id));
		simulation.run(4500);
		lost.forEach(id => simulation.silent.add(id));
		simulation.run(4000);
		assert.ok((simulation.counts.shares(WINDOW_MS)['north'] ?? 0) < 0.02);
		lost.forEach(id => simulation.unreachable.delete(id));
		simulation.run(500);
		simulation.silent.clear();
		const since = simulation.now;
		simulation.run(15000);
		assertBound(simulation, since);
		assert.ok(simulation.counts.shares(WINDOW_MS)['north']! > 0.6 * before['north']!, 'most requests have returned');
	});

	test(`targets that turn cold move no more requests than the bound${label}`, () => {
		const simulation = new SimulatedRegion(workTimeFactor, SMALL_SYSTEM);
		simulation.loadFactor = 1.5;
		simulation.slotDemand = {
			reads: { north: 108, central: 40, south: 40 },
			commands: { north: 12, central: 12, south: 12 }
		};
		simulation.run(WARMUP_MS);
		const since = simulation.now;
		simulation.turnCold(simulation.targetsOf('north', 'reads').slice(0, 8));
		simulation.run(10000);
		assertBound(simulation, since);
	});

	test(`drained halls get no requests once the instances know that they are drained${label}`, () => {
		const simulation = warmedUpSimulation(workTimeFactor);
		simulation.drained.add('north-a').add('north-b');
		simulation.change();
		simulation.run(200);
		simulation.run(1000);
		assert.equal(simulation.counts.shares(1000)['north'] ?? 0, 0);
		simulation.drained.clear();
		simulation.change();
		const since = simulation.now;
		simulation.run(15000);
		assertBound(simulation, since);
	});

	test(`targets that end and are replaced at their addresses move no more requests than the bound${label}`, () => {
		const simulation = new SimulatedRegion(workTimeFactor, SMALL_SYSTEM);
		simulation.loadFactor = 2;
		simulation.run(WARMUP_MS);
		const since = simulation.now;
		for (let round = 0; round < 3; round++) {
			simulation.replace(REGIONS.flatMap(region => halfOf(simulation.targetsOf(region, 'reads'), round)));
			simulation.run(8000);
		}
		assertBound(simulation, since);
	});

	test(`an instance that restarts moves no more requests than the bound${label}`, () => {
		const simulation = warmedUpSimulation(workTimeFactor);
		simulation.slotDemand = {
			reads: { north: 50, central: 144, south: 400 },
			commands: { north: 10, central: 48, south: 100 }
		};
		simulation.run(500);
		const since = simulation.now;
		simulation.restart(0);
		simulation.run(2000);
		simulation.restart(1);
		simulation.run(6000);
		assertBound(simulation, since);
	});
}

test('requests that run during a surge move no more than the bound', () => {
	assertBound(...surge());
	assertBound(...surge(1));
});

test('requests of a changed route that run move no more than the bound', () => {
	assertBound(...routeChanges());
	assertBound(...routeChanges(1));
});

test('without reported work times targets are chosen exactly as before', () => {
	const simulation = warmedUpSimulation();
	simulation.loadFactor = 3;
	simulation.run(2000);
	simulation.loadFactor = 1;
	simulation.slotDemand = {
		reads: { north: 100, central: 200, south: 100 },
		commands: { north: 48, central: 60, south: 48 }
	};
	simulation.targetsOf('north').forEach(id => simulation.silent.add(id));
	simulation.run(3000);
	simulation.silent.clear();
	simulation.run(3000);
	assert.equal(simulation.choicesDigest(), RECORDED_CHOICES);
});
