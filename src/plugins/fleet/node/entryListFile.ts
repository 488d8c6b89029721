/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Persists the entry instances known to a control instance, so that after a complete outage it can answer look-ups before they
 * have contacted it again. Information received after the start takes precedence over the file.
 */

import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import * as z from 'zod/mini';
import { type Millis, systemClock } from '../../../base/clock.js';
import { replaceFile } from '../../../kernel/node/durableFile.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { EntryDescription } from '../common/fleetTypes.js';

const FILE_NAME = 'entries.json';
/** Minimum time between writes: the list changes with each start and stop of an entry instance. */
const MIN_WRITE_INTERVAL_MS = 1000;

const entryListSchema = z.array(
	z.object({
		name: z.string(),
		incarnation: z.string(),
		sequence: z.number(),
		hall: z.string(),
		region: z.string(),
		callerAddress: z.string(),
		peerAddress: z.string(),
		isReady: z.boolean(),
		revision: z.number(),
		demand: z.record(z.string(), z.number())
	})
);

/** The file with the ready entry instances. */
export class EntryListFile {
	private _writtenDigest = '';
	private _lastWriteAt: Millis = Number.NEGATIVE_INFINITY;
	private _isWriting = false;

	/** @param folder the data folder; exists once the replicated log has been opened */
	constructor(
		private readonly _folder: string,
		private readonly _log: ILogService
	) {}

	/** Reads the saved instances; returns an empty list if the file is missing or invalid. */
	async read(): Promise<EntryDescription[]> {
		try {
			return entryListSchema.parse(JSON.parse(await readFile(join(this._folder, FILE_NAME), 'utf8')));
		} catch (error) {
			if ((error as NodeJS.ErrnoException).code !== 'ENOENT') {
				this._log.warn('cannot read saved entry instances', { task: 'fleet', error: (error as Error).message });
			}
			return [];
		}
	}

	/**
	 * Saves the instances if their names or caller addresses have changed. The write is synced to disk, so that it survives a
	 * power failure. Skipped while another write is in progress or within the minimum interval.
	 */
	async write(entries: readonly EntryDescription[]): Promise<void> {
		const now = systemClock.now();
		const names = entries.map(entry => `${entry.name} ${entry.callerAddress}`).sort();
		const digest = names.join();
		if (this._isWriting || digest === this._writtenDigest || now - this._lastWriteAt < MIN_WRITE_INTERVAL_MS) {
			return;
		}
		this._isWriting = true;
		this._lastWriteAt = now;
		try {
			await replaceFile(this._folder, FILE_NAME, JSON.stringify(entries));
			this._writtenDigest = digest;
		} catch (error) {
			this._log.warn('cannot save entry instances', { task: 'fleet', error: (error as Error).message });
		} finally {
			this._isWriting = false;
		}
	}
}
