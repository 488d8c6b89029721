/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Forecasts the load of the regions after a plan, and the groups that lose slots where capacity is insufficient. */

import { BUCKET_COUNT, type ConfigurationTable } from '../../configuration/common/configuration.js';
import type { HeadroomEntry, PlanStage, YieldEntry } from '../../configuration/common/intents.js';
import type { MeasuredLoads, RegionLoad } from './measuredLoads.js';

/** Expected load of the regions after a plan. */
export interface HeadroomForecast {
	readonly headroomAfter: readonly HeadroomEntry[];
	readonly yields: readonly YieldEntry[];
	/** Regions and services that the plan would overload. */
	readonly overloaded: readonly HeadroomEntry[];
	/** Messages about regions whose loss would overload the others after the plan. */
	readonly regionLossOverloads: readonly string[];
}

/** Measured load of one region and service, and the slots that each group is expected to use. */
interface ForecastLoad {
	readonly load: RegionLoad;
	readonly groups: { readonly group: string; used: number }[];
}

/** Forecasts the load after all stages from the current load. */
export function forecastHeadroom(
	stages: readonly PlanStage[],
	measuredLoads: MeasuredLoads,
	configuration: ConfigurationTable
): HeadroomForecast {
	const forecasts = measuredLoads.loads.map(load => ({ load, groups: load.groups.map(group => ({ ...group })) }));
	for (const stage of stages) {
		moveDemand(stage, forecasts, measuredLoads);
	}
	const headroomAfter = forecasts.map(toHeadroom);
	return {
		headroomAfter,
		yields: forecasts.flatMap(forecast => findYields(forecast, configuration)),
		overloaded: headroomAfter.filter(entry => entry.usedAfter > entry.slots && entry.usedAfter > entry.usedNow),
		regionLossOverloads: findOverloadingLosses(headroomAfter)
	};
}

function moveDemand(stage: PlanStage, forecasts: ForecastLoad[], measuredLoads: MeasuredLoads): void {
	for (const move of stage.moves) {
		for (const range of move.ranges) {
			const fraction = (range.to - range.from) / BUCKET_COUNT;
			for (const source of measuredLoads.loads.filter(load => load.region === move.home)) {
				const demand = source.groups.find(group => group.group === move.group)?.used ?? 0;
				addDemand(forecasts, move.home, source.service, move.group, -demand * fraction);
				addDemand(forecasts, range.region, source.service, move.group, demand * fraction);
			}
		}
	}
}

function addDemand(forecasts: ForecastLoad[], region: string, service: string, group: string, used: number): void {
	const forecast = forecasts.find(item => item.load.region === region && item.load.service === service);
	if (!forecast) {
		return;
	}
	const entry = forecast.groups.find(item => item.group === group);
	if (entry) {
		entry.used = Math.max(0, entry.used + used);
	} else {
		forecast.groups.push({ group, used: Math.max(0, used) });
	}
}

function totalUsed(forecast: ForecastLoad): number {
	return forecast.groups.reduce((sum, group) => sum + group.used, 0);
}

function toHeadroom(forecast: ForecastLoad): HeadroomEntry {
	const { load } = forecast;
	return {
		region: load.region,
		service: load.service,
		slots: load.slots,
		usedNow: roundToHundredths(load.used),
		usedAfter: roundToHundredths(totalUsed(forecast)),
		measuredMsAgo: Math.round(load.measuredMsAgo)
	};
}

/** Returns the groups that exceed their fair share of an overloaded region, with the slots in excess. */
function findYields(forecast: ForecastLoad, configuration: ConfigurationTable): YieldEntry[] {
	const { load } = forecast;
	if (totalUsed(forecast) <= load.slots) {
		return [];
	}
	const weightOf = (name: string): number => configuration.group(name)?.share ?? 1;
	const totalWeight = forecast.groups.reduce((sum, group) => sum + weightOf(group.group), 0);
	return forecast.groups.flatMap(group => {
		const fairShare = (load.slots * weightOf(group.group)) / totalWeight;
		const excess = roundToHundredths(group.used - fairShare);
		return excess > 0 ? [{ group: group.group, region: load.region, service: load.service, slots: excess }] : [];
	});
}

/** Describes each region whose load exceeds the total free slots of the other regions. */
function findOverloadingLosses(headroom: readonly HeadroomEntry[]): string[] {
	const found: string[] = [];
	for (const lost of headroom) {
		const others = headroom.filter(entry => entry.service === lost.service && entry.region !== lost.region);
		const freeSlots = others.reduce((sum, entry) => sum + Math.max(0, entry.slots - entry.usedAfter), 0);
		if (others.length > 0 && lost.usedAfter > freeSlots) {
			const names = others.map(entry => entry.region).join(', ');
			found.push(
				`loss of ${lost.region} would send ${lost.usedAfter} slots of ${lost.service} to ${names}, which have ${roundToHundredths(freeSlots)} free`
			);
		}
	}
	return found;
}

function roundToHundredths(value: number): number {
	return Math.round(value * 100) / 100;
}
