/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Recording of request outcomes for the error budget report, and names of the metrics that expose them. */

import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';

/** Counts requests by outcome, judged by the objectives of their service. */
export interface IBurnRecorder {
	/**
	 * Records a completed request.
	 * @param isFailed whether it got no response, or one with a status of 500 or above
	 * @param totalMs time from its arrival until its response was complete, in milliseconds
	 */
	record(service: string, group: string, isFailed: boolean, totalMs: number): void;
}

/** Service identifier of the burn recorder. */
export const IBurnRecorder = createServiceIdentifier<IBurnRecorder>('burnRecorder');

/** Metric with the number of requests by service, group, window and outcome. */
export const OBJECTIVE_EVENTS_METRIC = 'shelffield_objective_events';
/** Metric with the objective ratios by service. */
export const OBJECTIVE_RATIO_METRIC = 'shelffield_objective_ratio';
