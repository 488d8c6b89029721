/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Opens and writes the log of a replica on a disk that may fail or stall for a while, and says when it does. */

import { Gauge } from 'prom-client';
import VError from 'verror';
import { type Millis, systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { Emitter } from '../../../base/event.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IMetricsService } from '../../../kernel/node/metricsService.js';
import type { PersistRecord } from '../common/agreementTypes.js';
import type { LogStore, OpenedStore } from './logStore.js';

/** A write that takes longer than this counts as failed until it ends. */
const STALLED_WRITE_MS: Millis = 1000;
const MIN_RETRY_MS: Millis = 250;
const MAX_RETRY_MS: Millis = 2000;

/** Whether an error comes from the operating system, as that of a full or broken disk does. */
export function isSystemError(error: unknown): error is Error {
	const cause = (error instanceof Error && VError.cause(error)) || error;
	return cause instanceof Error && typeof (cause as NodeJS.ErrnoException).syscall === 'string';
}

/** Repeats operations of the store at a bounded pace until the disk takes them. */
export class LogWriter extends Disposable {
	private readonly _onDidChangeAvailability = this._register(new Emitter<boolean>());
	/** Fires with false when the disk first fails or stalls, with true once it takes writes again. */
	readonly onDidChangeAvailability = this._onDidChangeAvailability.event;
	private _lostAt: Millis | undefined;
	private _retryTimer?: NodeJS.Timeout;

	constructor(
		private readonly _store: LogStore,
		private readonly _log: ILogService,
		{ registry }: IMetricsService
	) {
		super();
		new Gauge({
			name: 'shelffield_agreement_storage_available',
			help: 'Whether the disk of the replicated log takes writes: 1 or 0.',
			registers: [registry],
			collect() {
				this.set(isAvailable() ? 1 : 0);
			}
		});
		const isAvailable = (): boolean => this.isAvailable;
		this._register(toDisposable(() => clearTimeout(this._retryTimer)));
	}

	/** Whether the disk took the last write; false while a write has failed or stalled and none has succeeded since. */
	get isAvailable(): boolean {
		return this._lostAt === undefined;
	}

	/** Opens the store; resolves once that succeeds, however long the disk fails. Never settles after `dispose`. */
	open(blankIncarnation: string | undefined): Promise<OpenedStore> {
		return this._repeat(() => this._store.open(blankIncarnation));
	}

	/**
	 * Appends records; resolves once they are synced, however long the disk fails. Never settles after `dispose`.
	 * @throws an error that is not one of the operating system
	 */
	append(records: readonly PersistRecord[]): Promise<void> {
		return this._repeat(() => this._store.append(records));
	}

	private async _repeat<T>(run: () => Promise<T>): Promise<T> {
		const stallTimer = setTimeout(() => this._lose(`no result within ${STALLED_WRITE_MS} ms`), STALLED_WRITE_MS);
		try {
			for (let retryMs = MIN_RETRY_MS; ; retryMs = Math.min(2 * retryMs, MAX_RETRY_MS)) {
				try {
					const result = await run();
					this._regain();
					return result;
				} catch (error) {
					if (!isSystemError(error)) {
						throw error;
					}
					this._lose(error.message);
				}
				await this._waitBeforeRetry(retryMs);
			}
		} finally {
			clearTimeout(stallTimer);
		}
	}

	private _waitBeforeRetry(ms: Millis): Promise<void> {
		return new Promise(resolve => (this._retryTimer = setTimeout(resolve, ms)));
	}

	private _lose(reason: string): void {
		if (!this.isAvailable) {
			return;
		}
		this._lostAt = systemClock.now();
		this._log.error('disk of the replicated log lost', { task: 'agreement', error: reason });
		this._onDidChangeAvailability.fire(false);
	}

	private _regain(): void {
		if (this._lostAt === undefined) {
			return;
		}
		const lostMs = Math.round(systemClock.now() - this._lostAt);
		this._lostAt = undefined;
		this._log.info('disk of the replicated log regained', { task: 'agreement', lostMs });
		this._onDidChangeAvailability.fire(true);
	}
}
