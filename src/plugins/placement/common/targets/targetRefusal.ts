/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Classifies refusals. Targets may shed some of their requests for seconds although they have free slots. Retrying such a
 * request at the same target usually succeeds in time, while another target has not served the object yet and responds late.
 * Treating the first target as full would also move all its other objects.
 */

import type { AttemptTrace } from '../../../forwarding/common/requestTrace.js';
import { NotRunCause } from '../../../forwarding/common/attempt.js';
import type { LoadReport } from './targetReport.js';

/**
 * Maximum number of attempts of one request at the same target. The second one shows whether the target refused the first by chance;
 * further retries are better spent at other targets.
 */
export const MAX_ATTEMPTS_PER_TARGET = 2;

/**
 * Whether a target that refused a request is full or sheds load, according to its own load report.
 * @param load load report of the refusal; undefined if it has none, which counts as full
 */
export function refusalCause(load: LoadReport | undefined): NotRunCause {
	const hasFreeSlots = load !== undefined && load.running < load.slots && load.waiting === 0;
	return hasFreeSlots ? NotRunCause.Shed : NotRunCause.Full;
}

/** Whether a refused request may be retried at the same target. */
export function mayRetrySameTarget(cause: NotRunCause, target: string, attempts: readonly AttemptTrace[]): boolean {
	const attemptCount = attempts.filter(attempt => attempt.target === target).length;
	return cause === NotRunCause.Shed && attemptCount < MAX_ATTEMPTS_PER_TARGET;
}
