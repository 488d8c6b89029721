/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Guards against retries of all instances together that exceed the limit of a service. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ServiceRetryBudget } from '../common/serviceRetryBudget.js';

const LIMITS = { ratio: 0.2, windowMs: 10000, slack: 58 };
const STEP_MS = 200;
const STEPS = 150;
/** Steps after which instances know of one that has joined or is reachable again. */
const PROPAGATION_STEPS = 5;
const MAX_INSTANCES = 12;
/** Steps that a retry may take to a target. */
const DELAY_STEPS = 2;
const MAX_REQUESTS_PER_STEP = 60;
/** When requests begin to need retries, after more than a window without. */
const TROUBLE_STEP = 60;

/** What happens to an instance at a step. */
interface Disruption {
	readonly step: number;
	readonly instance: number;
	/**
	 * - `restart`: the instance loses its budget
	 * - `cut`: the instances from this one on are cut off from the others, which then hear of fewer, until `heal`
	 * - `move`: its callers move to the next instance
	 * - `more`, `fewer`: it gets twice or half as many requests
	 * - `calm`, `trouble`: from now on no request has to be retried, or as many as the budgets allow
	 * - `slow`, `fast`: from now on retries arrive as late as they may, or at once
	 */
	readonly kind: 'restart' | 'cut' | 'heal' | 'join' | 'move' | 'more' | 'fewer' | 'calm' | 'trouble' | 'slow' | 'fast';
}

/** Entry instances that retry as often as their budgets allow while there is trouble. */
class RetryingInstances {
	readonly firstAttempts: number[] = [];
	/** Retries that arrive at targets, by step. */
	readonly retries = new Array<number>(STEPS).fill(0);
	private readonly _budgets: (ServiceRetryBudget | undefined)[];
	private readonly _knownCounts: number[];
	private _cutFrom = MAX_INSTANCES;
	private _changedAt = Number.NEGATIVE_INFINITY;
	private _knownToControl: number;
	private _isTrouble = true;
	private _delaySteps = 0;
	private readonly _requestsPerStep: number[];

	constructor(
		private _count: number,
		requestsPerStep: number
	) {
		this._knownToControl = _count;
		this._requestsPerStep = Array.from({ length: MAX_INSTANCES }, (_, i) => (i < _count ? requestsPerStep : 0));
		this._budgets = Array.from({ length: MAX_INSTANCES }, (_, i) =>
			i < _count ? new ServiceRetryBudget(LIMITS, -2 * LIMITS.windowMs) : undefined
		);
		this._knownCounts = new Array<number>(MAX_INSTANCES).fill(_count);
	}

	step(step: number, disruptions: readonly Disruption[]): void {
		disruptions.filter(disruption => disruption.step === step).forEach(disruption => this._disrupt(disruption));
		if (step >= this._changedAt + PROPAGATION_STEPS) {
			this._updateKnownCounts();
		}
		const now = step * STEP_MS;
		let retries = 0;
		this._budgets.forEach((budget, i) => {
			for (let r = 0; r < this._requestsPerStep[i]!; r++) {
				budget?.recordFirstAttempt(now);
			}
			while (this._isTrouble && budget?.tryTake(this._knownCounts[i]!, now)) {
				retries++;
			}
		});
		this.firstAttempts.push(this._requestsPerStep.reduce((total, requests) => total + requests, 0));
		this.retries[Math.min(STEPS - 1, step + this._delaySteps)]! += retries;
	}

	private _disrupt({ step, instance, kind }: Disruption): void {
		this._changedAt = step;
		if (kind === 'restart' && this._budgets[instance]) {
			this._budgets[instance] = new ServiceRetryBudget(LIMITS, step * STEP_MS);
			this._knownCounts[instance] = Number.POSITIVE_INFINITY;
		} else if (kind === 'join' && this._count < MAX_INSTANCES) {
			this._budgets[this._count] = new ServiceRetryBudget(LIMITS, step * STEP_MS);
			this._requestsPerStep[this._count] = this._requestsPerStep[0]!;
			this._knownCounts[this._count++] = Number.POSITIVE_INFINITY;
		} else if (kind === 'cut') {
			this._cutFrom = instance;
		} else if (kind === 'heal') {
			this._cutFrom = MAX_INSTANCES;
		} else if (kind === 'move') {
			const next = (instance + 1) % this._count;
			this._requestsPerStep[next]! += this._requestsPerStep[instance]!;
			this._requestsPerStep[instance] = 0;
		} else {
			this._changeLoad(instance, kind);
		}
	}

	private _changeLoad(instance: number, kind: Disruption['kind']): void {
		if (kind === 'calm' || kind === 'trouble') {
			this._isTrouble = kind === 'trouble';
		} else if (kind === 'slow' || kind === 'fast') {
			this._delaySteps = kind === 'slow' ? DELAY_STEPS : 0;
		} else if (kind === 'more' || kind === 'fewer') {
			const changed = this._requestsPerStep[instance]! * (kind === 'more' ? 2 : 0.5);
			this._requestsPerStep[instance] = Math.min(MAX_REQUESTS_PER_STEP, Math.floor(changed));
		}
	}

	/**
	 * Only the side with a majority of the control instances, here the first one, hears of changes. Counts are the highest ones known,
	 * to the instance itself or to control.
	 */
	private _updateKnownCounts(): void {
		const heard = Math.max(1, Math.min(this._count, this._cutFrom));
		this._knownToControl = Math.max(this._knownToControl, heard);
		for (let i = 0; i < heard; i++) {
			const known = this._knownCounts[i]!;
			this._knownCounts[i] = Number.isFinite(known) ? Math.max(known, this._knownToControl) : this._knownToControl;
		}
	}
}

/** The most retries in a window beyond what the limit allows; negative within it. */
function worstExcess({ firstAttempts, retries }: RetryingInstances): number {
	const windowSteps = LIMITS.windowMs / STEP_MS;
	let worst = Number.NEGATIVE_INFINITY;
	for (let from = windowSteps; from + windowSteps <= retries.length; from++) {
		const sumOf = (values: readonly number[], start: number): number =>
			values.slice(start, start + windowSteps).reduce((total, value) => total + value, 0);
		const starts = [from, from - windowSteps / 2, from - windowSteps];
		const requests = Math.max(...starts.map(start => sumOf(firstAttempts, start)));
		worst = Math.max(worst, sumOf(retries, from) - LIMITS.ratio * requests - LIMITS.slack);
	}
	return worst;
}

function simulate(count: number, requestsPerStep: number, disruptions: readonly Disruption[]): number {
	const instances = new RetryingInstances(count, requestsPerStep);
	for (let step = 0; step < STEPS; step++) {
		instances.step(step, disruptions);
	}
	return worstExcess(instances);
}

test('retries of all instances stay within the limit when all of them restart one after the other', () => {
	const disruptions = Array.from({ length: 9 }, (_, i) => ({ step: 60 + i, instance: i, kind: 'restart' as const }));
	assert.ok(simulate(9, 1, disruptions) <= 0, `${simulate(9, 1, disruptions)} too many`);
});

/** Guards against a budget that instances have spent and that others, or their successors, have again for the same requests. */
for (const [title, kind, count] of [
	['when half of them restart soon after they have begun', 'restart', 5],
	['when half of the callers move to other instances soon after they have begun', 'move', 5]
] as const) {
	test(`retries of all instances stay within the limit ${title}`, () => {
		const disruptions: Disruption[] = [
			{ step: 0, instance: 0, kind: 'calm' },
			{ step: TROUBLE_STEP, instance: 0, kind: 'trouble' },
			...Array.from({ length: count }, (_, i) => ({ step: TROUBLE_STEP + 10, instance: 2 * i, kind }))
		];
		const excess = simulate(10, 20, disruptions);
		assert.ok(excess <= 0, `${excess} too many`);
	});
}

test('retries of all instances stay within the limit through drawn restarts, joins and cuts', () => {
	const disruption = fc.record({
		step: fc.integer({ min: 20, max: STEPS - 1 }),
		instance: fc.integer({ min: 0, max: 8 }),
		kind: fc.constantFrom('restart' as const, 'restart' as const, 'cut' as const, 'heal' as const, 'join' as const)
	});
	fc.assert(
		fc.property(
			fc.integer({ min: 3, max: 9 }),
			fc.integer({ min: 0, max: 3 }),
			fc.array(disruption, { maxLength: 12 }),
			(count, requestsPerStep, disruptions) => {
				assert.ok(simulate(count, requestsPerStep, disruptions) <= 0);
			}
		),
		{ seed: 49, numRuns: 300 }
	);
});

test('retries of all instances stay within the limit when the only one that control reaches restarts', () => {
	const disruptions: Disruption[] = [
		{ step: 20, instance: 1, kind: 'cut' },
		{ step: 20, instance: 0, kind: 'restart' }
	];
	const excess = simulate(3, 0, disruptions);
	assert.ok(excess <= 0, `${excess} too many`);
});

/** Guards against retries of two windows that arrive within one. */
test('retries of all instances stay within the limit when those of one burst arrive late, and those a window later at once', () => {
	const disruptions: Disruption[] = [
		{ step: 0, instance: 0, kind: 'calm' },
		{ step: 0, instance: 0, kind: 'slow' },
		{ step: TROUBLE_STEP + 4, instance: 0, kind: 'trouble' },
		{ step: TROUBLE_STEP + 5, instance: 0, kind: 'fast' }
	];
	for (const requestsPerStep of [0, 20]) {
		const excess = simulate(9, requestsPerStep, disruptions);
		assert.ok(excess <= 0, `${excess} too many with ${requestsPerStep} requests a step`);
	}
});

test('retries of all instances stay within the limit through drawn troubles, restarts and moves of callers', () => {
	const kinds = ['restart', 'move', 'more', 'fewer', 'calm', 'trouble', 'slow', 'fast'] as const;
	const disruption = fc.record({
		step: fc.integer({ min: 0, max: STEPS - 1 }),
		instance: fc.integer({ min: 0, max: 8 }),
		kind: fc.constantFrom(...kinds)
	});
	fc.assert(
		fc.property(
			fc.integer({ min: 3, max: 9 }),
			fc.integer({ min: 0, max: 30 }),
			fc.array(disruption, { maxLength: 16 }),
			(count, requestsPerStep, disruptions) => {
				assert.ok(simulate(count, requestsPerStep, disruptions) <= 0);
			}
		),
		{ seed: 68, numRuns: 300 }
	);
});
