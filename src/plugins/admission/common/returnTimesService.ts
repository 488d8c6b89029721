/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The return times that the deployment asks for. */

import type { Millis } from '../../../base/clock.js';
import { MeasuredReturnTimes } from './measuredReturnTimes.js';
import { FixedReturnTimes, type IReturnTimes } from './returnTimes.js';
import type { ShortageRequest } from './shortageAdmission.js';
import { IShortageSettings } from './shortageSettings.js';

/** Measured return times where callers compete for slots by rank, otherwise the same one for all. */
export class ReturnTimesService implements IReturnTimes {
	private readonly _returnTimes: IReturnTimes;

	constructor(@IShortageSettings { isRanked }: IShortageSettings) {
		this._returnTimes = isRanked ? new MeasuredReturnTimes() : new FixedReturnTimes();
	}

	retryAfterMs(request: ShortageRequest, now: Millis): Millis | undefined {
		return this._returnTimes.retryAfterMs(request, now);
	}

	recordCompletion(request: ShortageRequest, now: Millis): void {
		this._returnTimes.recordCompletion(request, now);
	}
}
