/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Tells which contact with a quorum counts for a lease. The monotonic clock stops while the machine is suspended, so a lease may seem
 * valid although another leader was elected meanwhile.
 */

import { type Millis, systemClock } from '../../../base/clock.js';
import { SuspensionDetector } from '../../../base/suspensionDetector.js';
import type { ILogService } from '../../../kernel/node/logService.js';

/** Detects suspensions of the machine, whenever a lease is asked for. */
export class SuspensionGuard {
	private readonly _detector = new SuspensionDetector();
	private _contactValidFrom: Millis = Number.NEGATIVE_INFINITY;

	constructor(private readonly _log: ILogService) {}

	/** Quorum contact before this time does not count. */
	contactValidFrom(): Millis {
		if (this._detector.detectSuspension()) {
			this._contactValidFrom = systemClock.now();
			this._log.warn('machine may have been suspended; lease invalid until the next quorum contact', {
				task: 'agreement'
			});
		}
		return this._contactValidFrom;
	}
}
