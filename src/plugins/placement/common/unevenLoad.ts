/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What target selection has to know to plan the shares of services whose demand and targets are uneven. */

import type { Millis } from '../../../base/clock.js';

/** Observations of uneven load at this instance. */
export interface IUnevenLoad {
	/** Whether the deployment asks for shares of a service that hold still; otherwise they follow the present demand. */
	isUneven(service: string): boolean;
	/** Speed of a target, 1 being usual; undefined if it is not known. */
	speedOf(targetId: string, now: Millis): number | undefined;
}

/** For deployments without uneven load. */
export const evenLoad: IUnevenLoad = { isUneven: () => false, speedOf: () => undefined };
