/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Counts the failures of a replica over restarts of its process. A fault that the log itself brings about comes back at each
 * start, so the process ends later each time, and serves meanwhile what needs no replica.
 */

import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { type IClock, type Millis, systemClock } from '../../../base/clock.js';
import { replaceFile } from '../../../kernel/node/durableFile.js';
import type { ILogService } from '../../../kernel/node/logService.js';

const FILE_NAME = 'failures.json';
/** Delays before the end of the process, by number of failures before; the last one stays. */
const DELAYS_MS: readonly Millis[] = [0, 4000, 16000, 60000];
/** A failure this long after the one before counts as the first. */
const RESET_AFTER_MS: Millis = 10 * 60 * 1000;

/** Failures of a replica, as saved. */
interface SavedFailures {
	readonly count: number;
	/** Time of the latest one as Unix milliseconds. */
	readonly at: number;
}

/** Delays the ends of a process whose replica fails again and again. */
export class FailureBackoff {
	/** @param _folder data folder of the replica */
	constructor(
		private readonly _folder: string,
		private readonly _log: ILogService,
		private readonly _clock: IClock = systemClock
	) {}

	/** Counts a failure, and resolves when the process is to end. */
	async waitBeforeEnd(): Promise<void> {
		const delayMs = await this._countFailure();
		this._log.error('process ends after a failure of its replica', { task: 'agreement', delayMs });
		await new Promise(resolve => setTimeout(resolve, delayMs));
	}

	/**
	 * Counts a failure.
	 * @returns how long to wait before the process ends; the longest time if the count cannot be saved
	 */
	private async _countFailure(): Promise<Millis> {
		const at = this._clock.wallNow();
		const earlier = await this._read();
		const isRecent = earlier !== undefined && Math.abs(at - earlier.at) < RESET_AFTER_MS;
		const count = isRecent ? earlier.count + 1 : 1;
		try {
			await replaceFile(this._folder, FILE_NAME, JSON.stringify({ count, at }));
		} catch (error) {
			this._warn('cannot save the number of failures', error as Error);
			return DELAYS_MS.at(-1)!;
		}
		return DELAYS_MS[Math.min(count, DELAYS_MS.length) - 1]!;
	}

	/** The saved failures; undefined if there are none or they cannot be read. */
	private async _read(): Promise<SavedFailures | undefined> {
		try {
			return JSON.parse(await readFile(join(this._folder, FILE_NAME), 'utf8')) as SavedFailures;
		} catch (error) {
			if ((error as NodeJS.ErrnoException).code !== 'ENOENT') {
				this._warn('cannot read the number of failures', error as Error);
			}
			return undefined;
		}
	}

	private _warn(message: string, error: Error): void {
		this._log.warn(message, { task: 'agreement', error: error.message });
	}
}
