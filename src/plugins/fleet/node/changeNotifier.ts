/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Wakes the long-polling calls of entry instances when the fleet state changes. Changes arrive in bursts, for example when many
 * targets register at startup, so they are batched: otherwise each one would cost a response to every entry instance.
 */

import type { Millis } from '../../../base/clock.js';

/**
 * How long changes are batched. Together with the exchange interval of control instances (250 ms) and the latency between
 * regions, this has to stay below the 600 ms that an acknowledgement waits for entry instances to apply a change.
 */
const BATCH_WINDOW_MS = 150;

/** The calls waiting for a change at this control instance. */
export class ChangeNotifier {
	private readonly _waiters = new Set<() => void>();
	private _notifyTimer?: NodeJS.Timeout;

	/** Whether a change has occurred that waiting calls have not been notified of yet. */
	get isNotificationPending(): boolean {
		return this._notifyTimer !== undefined;
	}

	/** Notifies all waiting calls once the batch window ends. */
	scheduleNotification(): void {
		this._notifyTimer ??= setTimeout(() => {
			this._notifyTimer = undefined;
			[...this._waiters].forEach(done => done());
		}, BATCH_WINDOW_MS);
	}

	/** Resolves at the next notification, or after `waitMs`. */
	waitForChange(waitMs: Millis): Promise<void> {
		return new Promise(resolve => {
			const done = (): void => {
				clearTimeout(timer);
				this._waiters.delete(done);
				resolve();
			};
			const timer = setTimeout(done, waitMs);
			this._waiters.add(done);
		});
	}
}
