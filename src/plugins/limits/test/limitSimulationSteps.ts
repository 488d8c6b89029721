/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Random steps of a simulation: requests, calls with their outcomes, restarts and leader changes. */

import fc from 'fast-check';
import { type LimitSimulation, DEFAULT_HOLDER_COUNT } from './limitSimulation.js';

const holderIndex = fc.integer({ min: 0, max: DEFAULT_HOLDER_COUNT - 1 });
/** A step without a leader change. */
export const singleLeaderStep = fc.oneof(
	{ weight: 6, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 400 }) }) },
	{
		weight: 8,
		arbitrary: fc.record({
			type: fc.constant('request' as const),
			index: holderIndex,
			count: fc.integer({ min: 1, max: 30 })
		})
	},
	{
		weight: 6,
		arbitrary: fc.record({
			type: fc.constant('renew' as const),
			index: holderIndex,
			outcome: fc.constantFrom('answered', 'answered', 'request lost', 'response lost', 'request duplicated')
		})
	},
	{
		weight: 5,
		arbitrary: fc.record({
			type: fc.constant('renewUrgently' as const),
			index: holderIndex,
			count: fc.integer({ min: 1, max: 5 }),
			outcome: fc.constantFrom('answered', 'response lost', 'responses reordered', 'requests reordered')
		})
	},
	{ weight: 2, arbitrary: fc.record({ type: fc.constant('giveBack' as const), index: holderIndex }) },
	{
		weight: 2,
		arbitrary: fc.record({
			type: fc.constant('writeCeilings' as const),
			outcome: fc.constantFrom('committed', 'lost', 'undecided')
		})
	},
	{ weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), index: holderIndex }) },
	{ weight: 2, arbitrary: fc.record({ type: fc.constant('renewAll' as const) }) }
);

/** A step that may also change the leader. */
export const multiLeaderStep = fc.oneof(
	{ weight: 30, arbitrary: singleLeaderStep },
	{ weight: 2, arbitrary: fc.record({ type: fc.constant('changeLeader' as const) }) },
	{ weight: 1, arbitrary: fc.record({ type: fc.constant('restartAll' as const) }) },
	{ weight: 1, arbitrary: fc.record({ type: fc.constant('restoreState' as const) }) },
	{
		weight: 1,
		arbitrary: fc.record({ type: fc.constant('restartEverything' as const), ms: fc.integer({ min: 0, max: 3000 }) })
	},
	{
		weight: 1,
		arbitrary: fc.record({ type: fc.constant('waitLong' as const), ms: fc.integer({ min: 5000, max: 12000 }) })
	}
);

/** Any step of a simulation. */
export type SimulationStep = typeof multiLeaderStep extends fc.Arbitrary<infer T> ? T : never;

/** Applies steps to a simulation, in order. */
export function runSteps(simulation: LimitSimulation, steps: readonly SimulationStep[]): void {
	for (const item of steps) {
		switch (item.type) {
			case 'changeLeader':
				simulation.changeLeader();
				break;
			case 'restoreState':
				simulation.restoreState();
				break;
			case 'restartAll':
				for (let i = 0; i < DEFAULT_HOLDER_COUNT; i++) {
					simulation.restart(i);
				}
				simulation.now += 500;
				simulation.changeLeader();
				break;
			case 'restartEverything':
				simulation.restartEverything(item.ms);
				break;
			case 'waitLong':
			case 'wait':
				simulation.now += item.ms;
				break;
			case 'request':
				simulation.request(item.index, item.count);
				break;
			case 'renew':
				simulation.renew(item.index, item.outcome);
				break;
			case 'renewUrgently':
				simulation.renewUrgently(item.index, item.count, item.outcome);
				break;
			case 'giveBack':
				simulation.giveBack(item.index);
				break;
			case 'writeCeilings':
				simulation.updateCeilings(item.outcome);
				break;
			case 'restart':
				simulation.restart(item.index);
				break;
			case 'renewAll':
				simulation.renewAll();
				break;
		}
	}
}
