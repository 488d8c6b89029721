/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Gauges of planned shares, demand and capacity. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MetricsService } from '../../../kernel/node/metricsService.js';
import { registerRegionPlanMetrics } from '../node/regionPlanMetrics.js';

test('share, demand and capacity are shown by service and region, and regions that are gone are left out', async () => {
	const metrics = new MetricsService();
	let plans = [
		{ service: 's', region: 'north', share: 0.25, demand: 12, slots: 20 },
		{ service: 's', region: 'south', share: 0.75, demand: undefined, slots: 40 }
	];
	registerRegionPlanMetrics(metrics, () => plans);
	const text = await metrics.registry.metrics();
	assert.match(text, /shelffield_region_share\{service="s",region="north"\} 0\.25/);
	assert.match(text, /shelffield_region_demand_slots\{service="s",region="north"\} 12/);
	assert.doesNotMatch(text, /shelffield_region_demand_slots\{service="s",region="south"\}/);
	assert.match(text, /shelffield_region_capacity_slots\{service="s",region="south"\} 40/);
	plans = plans.slice(0, 1);
	assert.doesNotMatch(await metrics.registry.metrics(), /region="south"/);
});
