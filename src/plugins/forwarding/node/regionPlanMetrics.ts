/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Metrics on where the requests of a service are planned to run, and why. */

import { Gauge } from 'prom-client';
import type { IMetricsService } from '../../../kernel/node/metricsService.js';
import type { RegionPlan } from '../../placement/common/placementPlans.js';

/** Registers gauges of planned share, demand and capacity by service and region, whose number the configuration bounds. */
export function registerRegionPlanMetrics(metrics: IMetricsService, regionPlans: () => readonly RegionPlan[]): void {
	const addGauge = (name: string, help: string, valueOf: (plan: RegionPlan) => number | undefined): void => {
		new Gauge({
			name,
			help,
			labelNames: ['service', 'region'],
			registers: [metrics.registry],
			collect() {
				this.reset();
				for (const plan of regionPlans()) {
					const value = valueOf(plan);
					if (value !== undefined) {
						this.set({ service: plan.service, region: plan.region }, value);
					}
				}
			}
		});
	};
	addGauge(
		'shelffield_region_share',
		"Planned share of the requests of this instance's callers.",
		({ share }) => share
	);
	addGauge(
		'shelffield_region_demand_slots',
		'Slots that the callers of a region need, as reported by control.',
		({ demand }) => demand
	);
	addGauge(
		'shelffield_region_capacity_slots',
		'Slots of the available targets of a region, times their mean speed where they report work times.',
		({ slots }) => slots
	);
}
