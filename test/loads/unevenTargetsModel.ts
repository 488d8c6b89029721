/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A fleet whose targets change their speed several times a second, and a decider that knows the true state of all targets. */

import type { Millis } from '../../src/base/clock.js';
import { FleetModel, REMOTE_ROUND_TRIP_MS, ROUND_TRIP_MS } from './fleetModel.js';
import type { FleetModelSettings } from './fleetModelTypes.js';
import type { TargetModel } from './targetModel.js';

const SLOW_FACTOR = 2.5;
const SLOW_RATIO = 1 / 6;
/** Speed changes of the targets are spread over this many instants of a phase. */
const CHANGES_PER_PHASE = 6;

/** Three regions of unequal size with as many callers each. */
export const UNEVEN_FLEET = {
	targets: { north: 7, central: 27, south: 32 },
	instances: 93,
	objectsPerRegion: 500,
	requestsPerSecond: 700,
	objectiveMs: 500,
	timeoutMs: 4000,
	target: { slots: 6, queueLength: 18, cacheSize: 33, missMs: 610, hitMs: 183, reportsWorkTime: true },
	registrationMs: 2000
} satisfies Partial<FleetModelSettings>;

/**
 * Creates the fleet and schedules the changes of speed over the given time.
 * @param phaseMs time after which the speed of a target changes
 */
export function createUnevenFleet(settings: FleetModelSettings, durationMs: Millis, phaseMs: Millis): FleetModel {
	const model = new FleetModel(settings);
	let state = settings.seed * 7919 + 1;
	const nextRandom = (): number => (state = (Math.imul(state, 1103515245) + 12345) >>> 0) / 2 ** 32;
	const stepMs = phaseMs / CHANGES_PER_PHASE;
	for (let step = 0; step * stepMs < durationMs; step++) {
		model.afterStart(step * stepMs, () => {
			[...model.targets.values()].forEach((target, index) => {
				if (index % CHANGES_PER_PHASE === step % CHANGES_PER_PHASE) {
					target.workTimeFactor = nextRandom() < SLOW_RATIO ? SLOW_FACTOR : 1;
				}
			});
		});
	}
	return model;
}

/** A target as a decider with full knowledge sees it for one request. */
interface Option {
	readonly target: TargetModel;
	readonly timeMs: Millis;
	readonly isCached: boolean;
}

function optionsFor(object: string, region: string, model: FleetModel): Option[] {
	const options = [...model.targets.values()].map(target => {
		const roundTripMs = target.id.startsWith(`${region}-`) ? ROUND_TRIP_MS : REMOTE_ROUND_TRIP_MS;
		const timeMs = target.completionMs(object, model.now) + roundTripMs;
		return { target, timeMs, isCached: target.isCached(object) };
	});
	return options.sort((a, b) => a.timeMs - b.timeMs);
}

/**
 * Selects the target that answers first among those that answer in time, or else among those that have the object cached, or else
 * among all. Best under high load.
 */
export function selectWithFullKnowledge(objectiveMs: Millis): NonNullable<FleetModelSettings['selectById']> {
	return (object, region, model) => {
		const options = optionsFor(object, region, model);
		const inTime = options.filter(({ timeMs }) => timeMs <= objectiveMs);
		return (inTime[0] ?? options.find(({ isCached }) => isCached) ?? options[0])?.target.id;
	};
}

/**
 * As {@link selectWithFullKnowledge}, but a request that is late in any case goes to the target with the least cached objects
 * until two targets have its object. Best under low load.
 */
export function selectWithTwoCopies(objectiveMs: Millis): NonNullable<FleetModelSettings['selectById']> {
	return (object, region, model) => {
		const options = optionsFor(object, region, model);
		const cached = options.filter(({ isCached }) => isCached);
		const inTime = options.filter(({ timeMs }) => timeMs <= objectiveMs);
		const others = options
			.filter(({ isCached }) => !isCached)
			.sort((a, b) => a.target.cachedCount - b.target.cachedCount || a.target.load - b.target.load);
		return (inTime[0] ?? (cached.length < 2 ? others[0] : cached[0]))?.target.id;
	};
}
