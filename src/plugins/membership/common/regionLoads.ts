/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Joins the loads that a new leader has heard itself with those that the leader before it spread. */

import type { RegionLoads, ServiceLoads } from './entryReport.js';

/** One instance's slots of a service. */
interface LoadRow {
	readonly instance: string;
	readonly slots: number;
	readonly used: number;
}

function rowsOf(loads: ServiceLoads | undefined): LoadRow[] {
	return (loads?.instances ?? []).map((instance, i) => ({
		instance,
		slots: loads!.slots[i]!,
		used: loads!.used[i]!
	}));
}

function toColumns(service: string, rows: readonly LoadRow[]): ServiceLoads {
	return {
		service,
		instances: rows.map(row => row.instance),
		slots: rows.map(row => row.slots),
		used: rows.map(row => row.used)
	};
}

function joinServices(heard: readonly ServiceLoads[], before: readonly ServiceLoads[]): ServiceLoads[] {
	const names = new Set([...heard, ...before].map(loads => loads.service));
	return [...names].map(service => {
		const rows = rowsOf(heard.find(loads => loads.service === service));
		const isHeard = new Set(rows.map(row => row.instance));
		const unheard = rowsOf(before.find(loads => loads.service === service)).filter(row => !isHeard.has(row.instance));
		return toColumns(service, [...rows, ...unheard]);
	});
}

/**
 * The loads heard, with the former loads of the instances that were not heard yet.
 * @param heard what this control instance heard itself
 * @param before what was spread before it became the leader
 */
export function withUnheardLoads(heard: readonly RegionLoads[], before: readonly RegionLoads[]): RegionLoads[] {
	const regions = new Set([...heard, ...before].map(loads => loads.region));
	const servicesOf = (all: readonly RegionLoads[], region: string): readonly ServiceLoads[] =>
		all.find(loads => loads.region === region)?.services ?? [];
	return [...regions].map(region => ({
		region,
		services: joinServices(servicesOf(heard, region), servicesOf(before, region))
	}));
}
