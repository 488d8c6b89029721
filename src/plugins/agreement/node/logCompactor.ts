/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Replaces committed entries by a snapshot of the replicated state, in memory and on disk. */

import type { ILogService } from '../../../kernel/node/logService.js';
import type { AgreementCore } from '../common/agreementCore.js';
import type { ReplicatedState } from '../common/replicatedState.js';
import type { LogStore } from './logStore.js';
import { isSystemError } from './logWriter.js';

/** Estimated size of the entries in memory from which they are replaced, however few they are. */
const MAX_ENTRY_BYTES = 8 * 1024 * 1024;

/** Compacts the log of one replica. */
export class LogCompactor {
	/** @param _everyEntries number of committed entries after which they are replaced */
	constructor(
		private readonly _state: ReplicatedState,
		private readonly _store: LogStore,
		private readonly _everyEntries: number,
		private readonly _log: ILogService
	) {}

	/** Compacts the log if enough entries were applied, or if they are large. If the disk fails, the file stays as it is until the next time. */
	async compactIfDue(core: AgreementCore): Promise<void> {
		const index = core.commitIndex;
		const isDue = index - core.snapshotIndex >= this._everyEntries || core.entryBytes >= MAX_ENTRY_BYTES;
		if (!isDue || index <= core.snapshotIndex) {
			return;
		}
		const snapshot = core.compact(index, this._state.save());
		try {
			await this._store.compact(snapshot, core.entriesAfterSnapshot(), core.hardState);
		} catch (error) {
			if (!isSystemError(error)) {
				throw error;
			}
			this._log.warn('snapshot not written', { task: 'agreement', index, error: error.message });
			return;
		}
		this._log.info('snapshot written', { task: 'agreement', index, bytes: snapshot.data.byteLength });
	}
}
