/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Steps that a simulation of holders may take, drawn in any order: requests, calls with their fates, restarts, changes of leader. */

import fc from 'fast-check';
import { type LimitSimulation, DEFAULT_HOLDER_COUNT } from './limitSimulation.js';

const holderIndex = fc.integer({ min: 0, max: DEFAULT_HOLDER_COUNT - 1 });
/** A step under one leader. */
export const singleLeaderStep = fc.oneof(
	{ weight: 6, arbitrary: fc.record({ type: fc.constant('pass' as const), ms: fc.integer({ min: 1, max: 400 }) }) },
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
			fate: fc.constantFrom('answered', 'answered', 'lost', 'answer lost', 'twice')
		})
	},
	{
		weight: 5,
		arbitrary: fc.record({
			type: fc.constant('need' as const),
			index: holderIndex,
			count: fc.integer({ min: 1, max: 5 }),
			fate: fc.constantFrom('answered', 'answer lost', 'after a renewal', 'overtaken')
		})
	},
	{ weight: 2, arbitrary: fc.record({ type: fc.constant('giveBack' as const), index: holderIndex }) },
	{ weight: 2, arbitrary: fc.record({ type: fc.constant('writeCeilings' as const), isCommitted: fc.boolean() }) },
	{ weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), index: holderIndex }) },
	{ weight: 2, arbitrary: fc.record({ type: fc.constant('renewAll' as const) }) }
);

/** A step that may change the leader, too. */
export const multiLeaderStep = fc.oneof(
	{ weight: 30, arbitrary: singleLeaderStep },
	{ weight: 2, arbitrary: fc.record({ type: fc.constant('changeLeader' as const) }) },
	{ weight: 1, arbitrary: fc.record({ type: fc.constant('loseAllPower' as const) }) },
	{ weight: 1, arbitrary: fc.record({ type: fc.constant('rest' as const), ms: fc.integer({ min: 5000, max: 12000 }) }) }
);

/** One step. */
export type SimulationStep = typeof multiLeaderStep extends fc.Arbitrary<infer T> ? T : never;

/** Has a simulation take steps. */
export function runSteps(simulation: LimitSimulation, steps: readonly SimulationStep[]): void {
	for (const item of steps) {
		switch (item.type) {
			case 'changeLeader':
				simulation.changeLeader();
				break;
			case 'loseAllPower':
				for (let i = 0; i < DEFAULT_HOLDER_COUNT; i++) {
					simulation.restart(i);
				}
				simulation.now += 500;
				simulation.changeLeader();
				break;
			case 'rest':
			case 'pass':
				simulation.now += item.ms;
				break;
			case 'request':
				simulation.request(item.index, item.count);
				break;
			case 'renew':
				simulation.renew(item.index, item.fate);
				break;
			case 'need':
				simulation.renewUrgently(item.index, item.count, item.fate);
				break;
			case 'giveBack':
				simulation.giveBack(item.index);
				break;
			case 'writeCeilings':
				simulation.updateCeilings(item.isCommitted);
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
