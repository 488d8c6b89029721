/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which targets count as capacity of a region, and which as lost. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RegionCapacities } from '../common/regionCapacities.js';
import { SimulatedRegion } from './simulatedRegion.js';
import { SMALL_SYSTEM } from './simulatedSizes.js';

test('cold targets are no capacity yet, and not lost', () => {
	const simulation = new SimulatedRegion(undefined, SMALL_SYSTEM);
	const capacities = new RegionCapacities(simulation.viewOf(0), 'reads', ['north', 'central', 'south'], []);
	const northSlots = (): [capacity: number, available: number] => {
		capacities.update(simulation.now);
		return [capacities.capacities.get('north')!.slots, capacities.availableSlots.get('north')!];
	};
	assert.deepEqual(northSlots(), [108, 108]);
	simulation.turnCold(simulation.targetsOf('north', 'reads').slice(0, 8));
	simulation.run(1000, true);
	assert.deepEqual(northSlots(), [36, 108]);
	simulation.run(5000, true);
	assert.deepEqual(northSlots(), [108, 108]);
});
