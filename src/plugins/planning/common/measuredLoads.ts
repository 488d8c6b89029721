/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Aggregates the reports of entry instances into the load of each region. */

import type { RegisteredEntry } from '../../membership/common/entryRegistry.js';
import type { Millis } from '../../../base/clock.js';

/** Load of one service in one region, in slots. */
export interface RegionLoad {
	readonly region: string;
	readonly service: string;
	slots: number;
	used: number;
	/** Age of the oldest report included. */
	measuredMsAgo: Millis;
	readonly groups: GroupLoad[];
}

/** Slots of a `RegionLoad` that one group uses. */
export interface GroupLoad {
	readonly group: string;
	used: number;
}

/** The load of all regions, by region and service. */
export class MeasuredLoads {
	readonly loads: RegionLoad[] = [];

	/** @param now current time, on the same clock as the `lastReportAt` of the entries */
	constructor(entries: readonly RegisteredEntry[], now: Millis) {
		for (const { report, lastReportAt } of entries) {
			const { region } = report.identity;
			for (const capacity of report.capacity) {
				const load = this._getOrAddLoad(region, capacity.service);
				load.slots += capacity.slots;
				load.measuredMsAgo = Math.max(load.measuredMsAgo, now - lastReportAt);
			}
			for (const demand of report.demand) {
				const load = this._getOrAddLoad(region, demand.service);
				load.used += demand.used;
				getOrAddGroupLoad(load, demand.group).used += demand.used;
			}
		}
	}

	/** All regions with a reported load, sorted by name. */
	get regions(): string[] {
		return [...new Set(this.loads.map(load => load.region))].sort();
	}

	/** Returns the free slots of a region, summed over all services. */
	freeSlots(region: string): number {
		const loads = this.loads.filter(load => load.region === region);
		return loads.reduce((sum, load) => sum + Math.max(0, load.slots - load.used), 0);
	}

	private _getOrAddLoad(region: string, service: string): RegionLoad {
		let load = this.loads.find(item => item.region === region && item.service === service);
		if (!load) {
			load = { region, service, slots: 0, used: 0, measuredMsAgo: 0, groups: [] };
			this.loads.push(load);
		}
		return load;
	}
}

function getOrAddGroupLoad(load: RegionLoad, group: string): GroupLoad {
	let found = load.groups.find(item => item.group === group);
	if (!found) {
		found = { group, used: 0 };
		load.groups.push(found);
	}
	return found;
}
