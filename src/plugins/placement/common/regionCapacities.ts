/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Capacity of a service in each region, and how much of it was lost recently. */

import type { Millis } from '../../../base/clock.js';
import type { FleetView, KnownTarget } from '../../fleet/common/fleetView.js';
import type { RegionCapacity } from './regionShares.js';
import { evenLoad, type IUnevenLoad } from './unevenLoad.js';

/** Smaller losses are not reported: the remaining targets of the region compensate for them. */
const MIN_LOST_FRACTION = 0.25;
/** Decay rate of the baseline, per second, so that targets that are gone for good cease to count as lost. */
const BASELINE_DECAY_PER_SECOND = 0.1;
/** With fewer known speeds the targets of a region count as of usual speed, since one of them would decide. */
const MIN_KNOWN_SPEEDS = 3;

/** The capacities of one service in the regions where a route may be served. */
export class RegionCapacities {
	/** Recent maximum of available slots by region, decaying over time. */
	private readonly _baselineSlots = new Map<string, number>();
	private _updatedAt: Millis | undefined;
	/** Slots by region, whatever the speed of their targets: slow targets are not lost. */
	private _availableSlots: ReadonlyMap<string, number> = new Map();
	/** Speeds of the regions' targets; undefined where load is even. */
	private _speeds: RegionSpeeds | undefined;
	private _capacities: ReadonlyMap<string, RegionCapacity> = new Map();
	private _lostFractions: ReadonlyMap<string, number> = new Map();

	/**
	 * @param _regions all regions, with or without targets
	 * @param _homeRegions the regions in which the requests may be served; empty for any
	 * @param _load where targets report work times, slots count by the speeds of the region's targets
	 */
	constructor(
		private readonly _view: FleetView,
		private readonly _service: string,
		private readonly _regions: readonly string[],
		private readonly _homeRegions: readonly string[],
		private readonly _load: IUnevenLoad = evenLoad
	) {}

	/** Current capacity by region. */
	get capacities(): ReadonlyMap<string, RegionCapacity> {
		return this._capacities;
	}

	/** Fraction of its baseline slots that each region lost, 1 if it has none; regions without a significant loss are left out. */
	get lostFractions(): ReadonlyMap<string, number> {
		return this._lostFractions;
	}

	/** Recomputes capacities and losses from the current view of the fleet. */
	update(now: Millis): void {
		const slots = this._countSlots(now);
		const regions = new Set([...this._regions, ...slots.keys()]);
		const capacityOf = (region: string): RegionCapacity => ({
			slots: (slots.get(region) ?? 0) * (this._speeds?.meanOf(region) ?? 1),
			demand: this._view.demandOf(this._service, region)
		});
		this._capacities = new Map([...regions].map(region => [region, capacityOf(region)]));
		this._availableSlots = slots;
		this._updateBaseline(now);
		this._lostFractions = new Map(
			[...regions].map(region => [region, this._lostFraction(region)] as const).filter(([, lost]) => lost > 0)
		);
	}

	private _countSlots(now: Millis): Map<string, number> {
		const slots = new Map<string, number>();
		const speeds = new RegionSpeeds();
		for (const target of this._view.targetsOf(this._service)) {
			const isAtHome = this._homeRegions.length === 0 || this._homeRegions.includes(target.region);
			if (isAtHome && this._isAvailable(target, now)) {
				slots.set(target.region, (slots.get(target.region) ?? 0) + target.record.slots);
				speeds.add(target.region, this._load.speedOf(target.record.id, now));
			}
		}
		this._speeds = this._load.isUneven(this._service) ? speeds : undefined;
		return slots;
	}

	private _isAvailable({ record, isSilent, coldUntil }: KnownTarget, now: Millis): boolean {
		return !isSilent && coldUntil <= now && !this._view.isDrained(record.hall);
	}

	private _updateBaseline(now: Millis): void {
		const decay = Math.exp((-BASELINE_DECAY_PER_SECOND * (now - (this._updatedAt ?? now))) / 1000);
		this._updatedAt = now;
		for (const region of this._capacities.keys()) {
			const slots = this._availableSlots.get(region) ?? 0;
			this._baselineSlots.set(region, Math.max(slots, (this._baselineSlots.get(region) ?? 0) * decay));
		}
	}

	private _lostFraction(region: string): number {
		const baseline = this._baselineSlots.get(region) ?? 0;
		const slots = this._availableSlots.get(region) ?? 0;
		if (slots === 0) {
			return 1;
		}
		const lost = 1 - slots / baseline;
		return lost >= MIN_LOST_FRACTION ? lost : 0;
	}
}

/** Mean speeds of the regions' targets that are known. */
class RegionSpeeds {
	private readonly _sums = new Map<string, { sum: number; count: number }>();

	add(region: string, speed: number | undefined): void {
		if (speed !== undefined) {
			const { sum, count } = this._sums.get(region) ?? { sum: 0, count: 0 };
			this._sums.set(region, { sum: sum + speed, count: count + 1 });
		}
	}

	/** Mean speed of a region; usual where too few of its targets are known. */
	meanOf(region: string): number {
		const { sum, count } = this._sums.get(region) ?? { sum: 0, count: 0 };
		return count >= MIN_KNOWN_SPEEDS ? sum / count : 1;
	}
}
