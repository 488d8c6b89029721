/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Steps and faults of the fault matrix, and the cells that cannot occur. */

/** Steps at which faults are injected. */
export const STEPS: readonly string[] = [
	'intent sent',
	'plan answered',
	'confirm sent',
	'log entry written',
	'entry committed',
	'configuration pushed',
	'stage k begun',
	'stage k in force',
	'target drain begun',
	'instance stop begun',
	'claim sent',
	'claim committed',
	'bytes to the target',
	'answer from the target',
	'outcome recorded',
	'answer to the caller',
	'snapshot written',
	'snapshot fetched',
	'new member added'
];

/** Faults of the matrix. */
export const FAULTS: readonly string[] = [
	'leader killed',
	'leader frozen for longer than every lease',
	'disk gone',
	'last record torn',
	'record inside the log damaged',
	'leader cut off both ways in silence',
	'leader cut off one way',
	'leader delayed by 200 ms',
	'connections of the leader reset',
	'entry instance killed',
	'entry instance frozen for longer than every lease',
	'measurements stop',
	'endpoints lie',
	'platform list late',
	'restart after hundreds of changes',
	'a whole region gone',
	'a second loss right after a repair'
];

/** A combination of step and fault that cannot occur. The reason is written to the report as the result. */
export interface ImpossibleCell {
	readonly step: string;
	readonly fault: string;
	readonly reason: string;
}

const OPERATOR_STEPS = ['intent sent', 'plan answered', 'confirm sent'];

/** Cells that are not run because the fault cannot affect the step. */
export const IMPOSSIBLE_CELLS: readonly ImpossibleCell[] = [
	...OPERATOR_STEPS.map(step => ({
		step,
		fault: 'platform list late',
		reason: 'cannot occur: the list is read by entry instances only; no answer to an operator depends on it'
	})),
	...OPERATOR_STEPS.map(step => ({
		step,
		fault: 'endpoints lie',
		reason: 'cannot occur: no target endpoint is read for a decision'
	}))
];

/** Result of a cell that was not run. */
export const NOT_RUN_REASON = 'not run';
