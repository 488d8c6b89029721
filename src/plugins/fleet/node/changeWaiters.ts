/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Calls that wait for a change of the fleet. Changes come in bursts: hundreds of targets register when a fleet starts, and tens
 * of them are replaced at once. Told one by one, each change would be an answer to every entry instance, so those that come
 * close together are told together.
 */

import type { Millis } from '../../../base/clock.js';

/**
 * Changes are gathered for this long. An acknowledgement waits for the entry instances 600 ms at least; this, the next exchange
 * of control instances (250 ms) and the way between regions stay below.
 */
const GATHER_MS = 150;

/** The calls that wait at this control instance. */
export class ChangeWaiters {
	private readonly _waiting = new Set<() => void>();
	private _gathering?: NodeJS.Timeout;

	/** Whether a change has come that was not told yet. */
	get isGathering(): boolean {
		return this._gathering !== undefined;
	}

	/** A change has come. */
	noteChange(): void {
		this._gathering ??= setTimeout(() => {
			this._gathering = undefined;
			[...this._waiting].forEach(done => done());
		}, GATHER_MS);
	}

	/** Resolves when changes are told, or after a time. */
	wait(waitMs: Millis): Promise<void> {
		return new Promise(resolve => {
			const done = (): void => {
				clearTimeout(timer);
				this._waiting.delete(done);
				resolve();
			};
			const timer = setTimeout(done, waitMs);
			this._waiting.add(done);
		});
	}
}
