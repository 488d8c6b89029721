/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Guards against retries of all instances together that exceed the limit of a service while instances restart, join or are cut off. */

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

/** What happens to an instance at a step. */
interface Disruption {
	readonly step: number;
	readonly instance: number;
	/** The instances from this one on are cut off from the others, which then hear of fewer; `restart` loses the budget. */
	readonly kind: 'restart' | 'cut' | 'heal' | 'join';
}

/** Entry instances that retry as often as their budgets allow. */
class RetryingInstances {
	readonly firstAttempts: number[] = [];
	readonly retries: number[] = [];
	private readonly _budgets: (ServiceRetryBudget | undefined)[];
	private readonly _knownCounts: number[];
	private _cutFrom = MAX_INSTANCES;
	private _changedAt = Number.NEGATIVE_INFINITY;

	constructor(
		private _count: number,
		private readonly _requestsPerStep: number
	) {
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
			for (let r = 0; r < this._requestsPerStep; r++) {
				budget?.recordFirstAttempt(now);
			}
			while (budget?.tryTake(this._knownCounts[i]!, now)) {
				retries++;
			}
		});
		this.firstAttempts.push(this._requestsPerStep * this._budgets.filter(Boolean).length);
		this.retries.push(retries);
	}

	private _disrupt({ step, instance, kind }: Disruption): void {
		this._changedAt = step;
		if (kind === 'restart' && this._budgets[instance]) {
			this._budgets[instance] = new ServiceRetryBudget(LIMITS, step * STEP_MS);
			this._knownCounts[instance] = Number.POSITIVE_INFINITY;
		} else if (kind === 'join' && this._count < MAX_INSTANCES) {
			this._budgets[this._count] = new ServiceRetryBudget(LIMITS, step * STEP_MS);
			this._knownCounts[this._count++] = Number.POSITIVE_INFINITY;
		} else if (kind === 'cut') {
			this._cutFrom = instance;
		} else if (kind === 'heal') {
			this._cutFrom = MAX_INSTANCES;
		}
	}

	/** Only the side with a majority of the control instances, here the first one, hears of changes. Counts are the highest ones known. */
	private _updateKnownCounts(): void {
		const heard = Math.max(1, Math.min(this._count, this._cutFrom));
		for (let i = 0; i < heard; i++) {
			const known = this._knownCounts[i]!;
			this._knownCounts[i] = Number.isFinite(known) ? Math.max(known, heard) : heard;
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
