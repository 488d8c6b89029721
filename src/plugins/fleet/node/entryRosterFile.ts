/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The entry instances that a control instance knew, kept in a file: after a stop of everything it can name them before
 * they have spoken to it again. What it hears after its start goes before what stands in the file.
 */

import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import * as z from 'zod/mini';
import { type Millis, systemClock } from '../../../base/clock.js';
import { replaceFile } from '../../../kernel/node/durableFile.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { EntryDescription } from '../common/fleetTypes.js';

const FILE_NAME = 'entries.json';
/** The file is written no more often than this; what it holds changes with each start and stop of an entry instance. */
const LEAST_PAUSE_MS = 1000;

const rosterSchema = z.array(
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

/** The file with the entry instances that take callers. */
export class EntryRosterFile {
	private _written = '';
	private _writtenAt: Millis = Number.NEGATIVE_INFINITY;
	private _isWriting = false;

	/** @param folder the data folder; it is there once the replicated log has been opened */
	constructor(
		private readonly _folder: string,
		private readonly _log: ILogService
	) {}

	/** The instances of the file; none where there is no file, or no readable one. */
	async read(): Promise<EntryDescription[]> {
		try {
			return rosterSchema.parse(JSON.parse(await readFile(join(this._folder, FILE_NAME), 'utf8')));
		} catch (error) {
			if ((error as NodeJS.ErrnoException).code !== 'ENOENT') {
				this._log.warn('roster not read', { task: 'fleet', error: (error as Error).message });
			}
			return [];
		}
	}

	/**
	 * Writes the instances down if they are others than before, synced: without the file a control instance that is back from
	 * a loss of power knows only those that have spoken to it.
	 */
	async write(entries: readonly EntryDescription[]): Promise<void> {
		const now = systemClock.now();
		const names = entries.map(entry => `${entry.name} ${entry.callerAddress}`).sort();
		const digest = names.join();
		if (this._isWriting || digest === this._written || now - this._writtenAt < LEAST_PAUSE_MS) {
			return;
		}
		this._isWriting = true;
		this._writtenAt = now;
		try {
			await replaceFile(this._folder, FILE_NAME, JSON.stringify(entries));
			this._written = digest;
		} catch (error) {
			this._log.warn('roster not written', { task: 'fleet', error: (error as Error).message });
		} finally {
			this._isWriting = false;
		}
	}
}
