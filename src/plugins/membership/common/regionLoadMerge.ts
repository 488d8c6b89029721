/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Merges the loads reported to a new leader with those published by the previous leader. */

import type { RegionLoads, ServiceLoads } from './entryReport.js';

/** Slots of one service at one instance. */
interface InstanceLoad {
	readonly instance: string;
	readonly slots: number;
	readonly used: number;
}

function toRows(loads: ServiceLoads | undefined): InstanceLoad[] {
	return (loads?.instances ?? []).map((instance, i) => ({
		instance,
		slots: loads!.slots[i]!,
		used: loads!.used[i]!
	}));
}

function toColumns(service: string, rows: readonly InstanceLoad[]): ServiceLoads {
	return {
		service,
		instances: rows.map(row => row.instance),
		slots: rows.map(row => row.slots),
		used: rows.map(row => row.used)
	};
}

function mergeServiceLoads(reported: readonly ServiceLoads[], previous: readonly ServiceLoads[]): ServiceLoads[] {
	const names = new Set([...reported, ...previous].map(loads => loads.service));
	return [...names].map(service => {
		const rows = toRows(reported.find(loads => loads.service === service));
		const reportedInstances = new Set(rows.map(row => row.instance));
		const unreportedRows = toRows(previous.find(loads => loads.service === service)).filter(
			row => !reportedInstances.has(row.instance)
		);
		return toColumns(service, [...rows, ...unreportedRows]);
	});
}

/**
 * Adds the previous loads of instances that have not reported a service yet.
 * @param reported loads reported to this control instance
 * @param previous loads published by the previous leader
 */
export function mergeRegionLoads(reported: readonly RegionLoads[], previous: readonly RegionLoads[]): RegionLoads[] {
	const regions = new Set([...reported, ...previous].map(loads => loads.region));
	const servicesOf = (all: readonly RegionLoads[], region: string): readonly ServiceLoads[] =>
		all.find(loads => loads.region === region)?.services ?? [];
	return [...regions].map(region => ({
		region,
		services: mergeServiceLoads(servicesOf(reported, region), servicesOf(previous, region))
	}));
}
