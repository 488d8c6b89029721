/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** When a caller whose request was refused for want of capacity should send it again. */

import type { Millis } from '../../../base/clock.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { ShortageRequest } from './shortageAdmission.js';

/** Retry-After for callers whose request may find capacity soon. */
export const SHORT_RETRY_AFTER_MS = 100;

/** Return times for the callers of one instance. */
export interface IReturnTimes {
	/** Delay after which the caller should return; undefined where it could not be served before its deadline even so. */
	retryAfterMs(request: ShortageRequest, now: Millis): Millis | undefined;
	/** Records that a target of the service has completed a request of this instance. */
	recordCompletion(request: ShortageRequest, now: Millis): void;
}

/** Service identifier of {@link IReturnTimes}. */
export const IReturnTimes = createServiceIdentifier<IReturnTimes>('returnTimes');

/** Tells all callers the same short time. */
export class FixedReturnTimes implements IReturnTimes {
	retryAfterMs(): Millis {
		return SHORT_RETRY_AFTER_MS;
	}

	recordCompletion(): void {
		// Keeps no state.
	}
}
