/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Capacity of a service in each region. */

import type { Millis } from '../../../base/clock.js';
import type { FleetView, KnownTarget } from '../../fleet/common/fleetView.js';
import type { RegionCapacity } from './regionShares.js';
import { evenLoad, type IUnevenLoad } from './unevenLoad.js';

/** With fewer known speeds the targets of a region count as of usual speed, since one of them would decide. */
const MIN_KNOWN_SPEEDS = 3;

/** The capacities of one service in the regions where a route may be served. */
export class RegionCapacities {
	private _availableSlots: ReadonlyMap<string, number> = new Map();
	private _capacities: ReadonlyMap<string, RegionCapacity> = new Map();

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

	/** Current capacity by region; targets add to it once they are no longer cold. */
	get capacities(): ReadonlyMap<string, RegionCapacity> {
		return this._capacities;
	}

	/** Slots by region of targets that are not lost, also of slow and of cold ones; 0 for a region without any. */
	get availableSlots(): ReadonlyMap<string, number> {
		return this._availableSlots;
	}

	/** Recomputes capacities from the current view of the fleet. */
	update(now: Millis): void {
		const available = this._availableTargets();
		const warm = available.filter(({ coldUntil }) => coldUntil <= now);
		const availableSlots = sumSlots(available);
		const warmSlots = sumSlots(warm);
		const speeds = this._load.isUneven(this._service) ? this._speedsOf(warm, now) : undefined;
		const regions = [...new Set([...this._regions, ...availableSlots.keys()])];
		const capacityOf = (region: string): RegionCapacity => ({
			slots: (warmSlots.get(region) ?? 0) * (speeds?.meanOf(region) ?? 1),
			demand: this._view.demandOf(this._service, region)
		});
		this._capacities = new Map(regions.map(region => [region, capacityOf(region)]));
		this._availableSlots = new Map(regions.map(region => [region, availableSlots.get(region) ?? 0]));
	}

	private _availableTargets(): KnownTarget[] {
		const isAtHome = (region: string): boolean => this._homeRegions.length === 0 || this._homeRegions.includes(region);
		return this._view
			.targetsOf(this._service)
			.filter(({ record, region, isSilent }) => isAtHome(region) && !isSilent && !this._view.isDrained(record.hall));
	}

	private _speedsOf(targets: readonly KnownTarget[], now: Millis): RegionSpeeds {
		const speeds = new RegionSpeeds();
		targets.forEach(({ record, region }) => speeds.add(region, this._load.speedOf(record.id, now)));
		return speeds;
	}
}

/** Sums the slots of targets by region. */
function sumSlots(targets: readonly KnownTarget[]): Map<string, number> {
	const slots = new Map<string, number>();
	for (const { record, region } of targets) {
		slots.set(region, (slots.get(region) ?? 0) + record.slots);
	}
	return slots;
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
