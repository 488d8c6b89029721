/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Controls which part of the demand for a service an instance admits. */

import type { Millis } from '../../../base/clock.js';
import { DecayingCount } from './decayingCount.js';
import { ShortageOutcome } from './shortageAdmission.js';

/** Over this time outcomes are counted; short, since a surge lasts only seconds. */
const DECAY_MS: Millis = 1000;
/** Increase of the fraction per second: after a shortage, all callers are admitted within two seconds. */
const INCREASE_PER_SECOND = 0.75;
/**
 * Relative decrease of the fraction per second while all admitted attempts find no capacity. Being multiplicative, against an additive
 * increase, it brings instances that see the same targets to the same fraction without a message between them.
 */
const DECREASE_PER_SECOND = 4.5;
/** Part of the admitted attempts without capacity that makes a shortage: fewer are due to loads that are not known to the moment. */
const SHORTAGE_RATIO = 0.03;
/** Maximum fraction during a shortage: the lowest rank gets less than it asks for, so that the others find capacity first. */
const MAX_FRACTION_IN_SHORTAGE = 0.99;
/** Minimum of the fraction, so that targets that return after all were lost are noticed and used at once. */
const MIN_FRACTION = 0.25;
/** Attempts without capacity per second from which on a shortage begins: single ones come with any busy service. */
const MIN_WITHOUT_CAPACITY_PER_SECOND = 2;
/** Attempts with capacity per second that are assumed besides those counted, so that few attempts change little. */
const ASSUMED_PER_SECOND = 2;
/** Part of the completed requests per second that is always admitted, since targets have shown that they can take them. */
const COMPLETED_FRACTION = 0.9;

/** The admitted fraction of the demand for one service at this instance, from the outcomes of the attempts that it admitted. */
export class AdmittedFraction {
	private readonly _completed: DecayingCount;
	private readonly _withoutCapacity: DecayingCount;
	private _fraction = 1;
	private _updatedAt: Millis;

	constructor(now: Millis) {
		this._completed = new DecayingCount(DECAY_MS, now);
		this._withoutCapacity = new DecayingCount(DECAY_MS, now);
		this._updatedAt = now;
	}

	/** 1 while nothing is short. */
	get value(): number {
		return this._fraction;
	}

	recordOutcome(outcome: ShortageOutcome, now: Millis): void {
		if (outcome === ShortageOutcome.Completed) {
			this._completed.add(now);
		} else if (outcome !== ShortageOutcome.Other) {
			this._withoutCapacity.add(now);
		}
	}

	update(now: Millis): void {
		const elapsedSeconds = Math.max(0, now - this._updatedAt) / 1000;
		this._updatedAt = now;
		const withoutCapacity = this._withoutCapacity.perSecond(now);
		if (this._fraction === 1 && withoutCapacity < MIN_WITHOUT_CAPACITY_PER_SECOND) {
			return;
		}
		const ratio = withoutCapacity / (this._completed.perSecond(now) + withoutCapacity + ASSUMED_PER_SECOND);
		const raised = this._fraction + INCREASE_PER_SECOND * elapsedSeconds;
		const lowered = raised * Math.exp(-DECREASE_PER_SECOND * ratio * elapsedSeconds);
		const maximum = ratio > SHORTAGE_RATIO ? MAX_FRACTION_IN_SHORTAGE : 1;
		this._fraction = Math.min(maximum, Math.max(MIN_FRACTION, lowered));
	}

	/**
	 * Requests per second that may be admitted during a shortage; undefined for all.
	 * @param demand requests per second
	 */
	limit(demand: number, now: Millis): number | undefined {
		return this._fraction < 1
			? Math.max(this._fraction * demand, COMPLETED_FRACTION * this._completed.perSecond(now))
			: undefined;
	}
}
