/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * What to make of a target that turns a request away. The load pattern: many targets of a service turn a part of their
 * requests away though they have room, for seconds. A second target has not seen the object, so its answer is late, and who
 * takes the first one for full sends it all other objects too; asked once more, the first one answers in time.
 */

import type { AttemptTrace } from '../requestTrace.js';
import { NotRunCause } from '../attempt.js';
import type { LoadWord } from './targetWord.js';

/**
 * Tries of one request at one target: the second one finds out whether chance turned it away. A third would cost a retry
 * that another target makes better use of.
 */
const MOST_TRIES_AT_ONE = 2;

/**
 * Why a target turned a request away as it has no room for it, by its own word.
 * @param load the load word of the refusal; undefined where it has none
 */
export function refusalCause(load: LoadWord | undefined): NotRunCause {
	const hasRoom = load !== undefined && load.running < load.slots && load.waiting === 0;
	return hasRoom ? NotRunCause.Shed : NotRunCause.Full;
}

/** Whether a request that was turned away may go to the same target again. */
export function mayTryAgain(cause: NotRunCause, target: string, attempts: readonly AttemptTrace[]): boolean {
	const tries = attempts.filter(attempt => attempt.target === target).length;
	return cause === NotRunCause.Shed && tries < MOST_TRIES_AT_ONE;
}
