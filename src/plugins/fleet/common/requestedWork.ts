/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Finds targets that are the primary ones for more work than they can serve. Objects are assigned to targets by hash, so some
 * targets get several times the mean, while a single entry instance sends to each too rarely to notice. Control instances sum
 * the work that all entry instances request at each primary target, whether or not it is sent there, and compute which
 * fraction of its objects the target keeps. All entry instances move the same objects away.
 */

import type { Millis } from '../../../base/clock.js';
import { type TargetRecord, TargetPhase } from './fleetTypes.js';

/** Work by target id, in slot-seconds. */
export type WorkByTarget = Readonly<Record<string, number>>;

/** A target that keeps only a fraction of its objects. */
export interface CrowdedTarget {
	readonly id: string;
	/** Fraction of its objects that it keeps, 0 to 1. */
	readonly keptPart: number;
}

/** Time constant of the exponential average of requested work: long enough to count the requests of an object, short against a surge. */
const AVERAGING_TIME_MS = 4000;
/** Minimum observation time assumed when averaging the work of a new target. */
const MIN_AVERAGING_TIME_MS = 1000;
/**
 * Utilization up to which a target keeps all of its objects. Below it, requests to a target with about nine slots rarely queue,
 * and there is capacity for objects moved from other targets.
 */
const DESIRED_UTILIZATION = 0.65;
/** If the mean utilization is higher, a target keeps its objects up to this multiple of the mean. */
const MAX_RATIO_TO_MEAN = 1.2;
/** Minimum changes of a kept fraction; smaller ones are ignored, since moved objects lose cache locality. */
const MIN_DECREASE = 0.05;
const MIN_INCREASE = 0.25;

/** Exponentially decaying sum of requested work. */
interface DecayingSum {
	slotSeconds: number;
	readonly since: Millis;
	updatedAt: Millis;
}

/** Work requested at each target. Does no I/O; callers pass the time. */
export class RequestedWork {
	private readonly _sums = new Map<string, DecayingSum>();
	private _unsent = new Map<string, number>();
	private _keptParts = new Map<string, number>();

	/** Adds work that an entry instance reported to this control instance. */
	addReported(work: WorkByTarget, now: Millis): void {
		for (const [id, added] of Object.entries(work)) {
			this._unsent.set(id, (this._unsent.get(id) ?? 0) + added);
		}
		this.merge(work, now);
	}

	/** Adds work that was reported to another control instance. */
	merge(work: WorkByTarget, now: Millis): void {
		for (const [id, added] of Object.entries(work)) {
			this._decayed(id, now).slotSeconds += added;
		}
	}

	/** Work reported to this control instance since the last call. */
	takeUnsent(): WorkByTarget {
		const unsent = Object.fromEntries(this._unsent);
		this._unsent = new Map();
		return unsent;
	}

	/** Mean number of slots that the work requested at a target occupies. */
	slotsNeeded(id: string, now: Millis): number {
		if (!this._sums.has(id)) {
			return 0;
		}
		const { slotSeconds, since } = this._decayed(id, now);
		const averagingTimeMs =
			AVERAGING_TIME_MS * (1 - Math.exp(-Math.max(MIN_AVERAGING_TIME_MS, now - since) / AVERAGING_TIME_MS));
		return (slotSeconds * 1000) / averagingTimeMs;
	}

	/**
	 * Recomputes which targets keep only a fraction of their objects.
	 * @param targets all targets
	 * @param regionOf region of a data hall
	 */
	findCrowded(targets: Iterable<TargetRecord>, regionOf: (hall: string) => string, now: Millis): CrowdedTarget[] {
		const serving = [...targets].filter(({ phase }) => phase === TargetPhase.Serving);
		const groupOf = ({ service, hall }: TargetRecord): string => `${service} ${regionOf(hall)}`;
		const meanUtilizations = this._meanUtilizations(serving, groupOf, now);
		const previous = this._keptParts;
		this._keptParts = new Map();
		for (const target of serving) {
			const maxSlots =
				target.slots * Math.max(DESIRED_UTILIZATION, MAX_RATIO_TO_MEAN * meanUtilizations.get(groupOf(target))!);
			const desired = Math.min(1, maxSlots / Math.max(this.slotsNeeded(target.id, now), Number.EPSILON));
			const keptPart = withHysteresis(previous.get(target.id) ?? 1, desired);
			if (keptPart < 1) {
				this._keptParts.set(target.id, keptPart);
			}
		}
		this._dropIdle(now);
		return [...this._keptParts].map(([id, keptPart]) => ({ id, keptPart }));
	}

	private _meanUtilizations(
		targets: readonly TargetRecord[],
		groupOf: (target: TargetRecord) => string,
		now: Millis
	): Map<string, number> {
		const sums = new Map<string, { needed: number; slots: number }>();
		for (const target of targets) {
			const group = groupOf(target);
			const sum = sums.get(group) ?? { needed: 0, slots: 0 };
			sum.needed += this.slotsNeeded(target.id, now);
			sum.slots += target.slots;
			sums.set(group, sum);
		}
		return new Map([...sums].map(([group, { needed, slots }]) => [group, needed / Math.max(1, slots)]));
	}

	private _decayed(id: string, now: Millis): DecayingSum {
		let sum = this._sums.get(id);
		if (!sum) {
			sum = { slotSeconds: 0, since: now, updatedAt: now };
			this._sums.set(id, sum);
		}
		sum.slotSeconds *= Math.exp(-(now - sum.updatedAt) / AVERAGING_TIME_MS);
		sum.updatedAt = now;
		return sum;
	}

	/** Drops targets at which almost no work is requested any more. */
	private _dropIdle(now: Millis): void {
		for (const [id, { updatedAt, slotSeconds }] of this._sums) {
			if (slotSeconds * Math.exp(-(now - updatedAt) / AVERAGING_TIME_MS) < 1e-3) {
				this._sums.delete(id);
			}
		}
	}
}

/** Returns the desired fraction if it differs enough from the current one, so that objects do not move back and forth. */
function withHysteresis(current: number, desired: number): number {
	const isSignificant =
		desired < current - MIN_DECREASE || desired > current + MIN_INCREASE || (desired >= 1 && current > 0.8);
	return isSignificant ? desired : current;
}
