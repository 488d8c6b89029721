/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Which targets are the first place of more objects than they can serve. Objects are spread by a hash, so a few targets get
 * several times the mean, and on a fleet of hundreds of instances each meets a target once in many seconds: nobody sees its
 * queue. What all instances ask for at a target's objects is known as a sum, whether or not it goes there, so a target gives
 * away a part of its objects, the same ones at every instance, without anybody knowing the load of the moment.
 */

import type { Millis } from '../../../base/clock.js';
import { type TargetRecord, TargetPhase } from './fleetTypes.js';

/** Work at a target, in slots times seconds, by target id. */
export type WorkByTarget = Readonly<Record<string, number>>;

/** A target that keeps a part of its objects only. */
export interface CrowdedTarget {
	readonly id: string;
	/** Part of its objects that stay, 0 to 1. */
	readonly keptPart: number;
}

/** Needs are averaged over this time: long enough to count the requests of an object, short against a wave of callers. */
const SPAN_MS = 4000;
/** Until needs have been counted this long, they are averaged over this time. */
const LEAST_SPAN_MS = 1000;
/**
 * Part of its slots up to which a target keeps its objects: with nine slots requests hardly wait below it, and it leaves
 * room for the objects that others give away.
 */
const WANTED_FILL = 0.65;
/** Where targets are filled further on average, each keeps its objects up to this many times the mean. */
const MOST_OF_MEAN = 1.2;
/** An object that moves is no longer at hand, so a part changes only when it is off by this much. */
const LEAST_LESS = 0.05;
const LEAST_MORE = 0.25;

interface Need {
	work: number;
	readonly since: Millis;
	updatedAt: Millis;
}

/** The needs by target; pure, it is told the time. */
export class TargetNeeds {
	private readonly _needs = new Map<string, Need>();
	private _fresh = new Map<string, number>();
	private _keptParts = new Map<string, number>();

	/** An entry instance says what its callers asked for since its last word. */
	note(work: WorkByTarget, now: Millis): void {
		for (const [id, added] of Object.entries(work)) {
			this._fresh.set(id, (this._fresh.get(id) ?? 0) + added);
		}
		this.merge(work, now);
	}

	/** Another control instance says what entry instances told it. */
	merge(work: WorkByTarget, now: Millis): void {
		for (const [id, added] of Object.entries(work)) {
			this._decayed(id, now).work += added;
		}
	}

	/** What entry instances told since the last call. */
	takeFresh(): WorkByTarget {
		const fresh = Object.fromEntries(this._fresh);
		this._fresh = new Map();
		return fresh;
	}

	/** Slots that the requests for a target's objects need. */
	slotsNeeded(id: string, now: Millis): number {
		if (!this._needs.has(id)) {
			return 0;
		}
		const { work, since } = this._decayed(id, now);
		const spanMs = SPAN_MS * (1 - Math.exp(-Math.max(LEAST_SPAN_MS, now - since) / SPAN_MS));
		return (work * 1000) / spanMs;
	}

	/**
	 * Works out anew which targets give objects away.
	 * @param targets all targets held
	 * @param regionOf the region of a hall
	 */
	crowded(targets: Iterable<TargetRecord>, regionOf: (hall: string) => string, now: Millis): CrowdedTarget[] {
		const serving = [...targets].filter(({ phase }) => phase === TargetPhase.Serving);
		const groupOf = ({ service, hall }: TargetRecord): string => `${service} ${regionOf(hall)}`;
		const fills = this._meanFills(serving, groupOf, now);
		const before = this._keptParts;
		this._keptParts = new Map();
		for (const target of serving) {
			const most = target.slots * Math.max(WANTED_FILL, MOST_OF_MEAN * fills.get(groupOf(target))!);
			const wanted = Math.min(1, most / Math.max(this.slotsNeeded(target.id, now), Number.EPSILON));
			const keptPart = withHysteresis(before.get(target.id) ?? 1, wanted);
			if (keptPart < 1) {
				this._keptParts.set(target.id, keptPart);
			}
		}
		this._forget(now);
		return [...this._keptParts].map(([id, keptPart]) => ({ id, keptPart }));
	}

	private _meanFills(
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

	private _decayed(id: string, now: Millis): Need {
		let need = this._needs.get(id);
		if (!need) {
			need = { work: 0, since: now, updatedAt: now };
			this._needs.set(id, need);
		}
		need.work *= Math.exp(-(now - need.updatedAt) / SPAN_MS);
		need.updatedAt = now;
		return need;
	}

	/** Drops targets that nobody asks for any more. */
	private _forget(now: Millis): void {
		for (const [id, { updatedAt, work }] of this._needs) {
			if (work * Math.exp(-(now - updatedAt) / SPAN_MS) < 1e-3) {
				this._needs.delete(id);
			}
		}
	}
}

/** Takes a new part over only where it is off by enough, so that objects do not go to and fro. */
function withHysteresis(current: number, wanted: number): number {
	const isOff = wanted < current - LEAST_LESS || wanted > current + LEAST_MORE || (wanted >= 1 && current > 0.8);
	return isOff ? wanted : current;
}
