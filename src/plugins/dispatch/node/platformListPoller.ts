/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Polls the platform's list of targets. */

import { request } from 'undici';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { Emitter } from '../../../base/event.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { type ListedTarget, platformListSchema } from '../common/target.js';

const POLL_INTERVAL_MS = 500;
const READ_TIMEOUT_MS = 2000;

/** Polls the list at a fixed interval; the list lags behind the actual state of the targets. */
export class PlatformListPoller extends Disposable {
	private readonly _onDidRead = this._register(new Emitter<readonly ListedTarget[]>());
	/** Fires after each successful poll. */
	readonly onDidRead = this._onDidRead.event;
	private _isPolling = false;

	/** @param _url URL of the list */
	constructor(
		private readonly _url: string,
		private readonly _log: ILogService
	) {
		super();
	}

	/** Starts polling; resolves after the first poll, successful or not. */
	async start(): Promise<void> {
		const timer = setInterval(() => void this._poll(), POLL_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
		await this._poll();
	}

	private async _poll(): Promise<void> {
		if (this._isPolling) {
			return;
		}
		this._isPolling = true;
		try {
			const response = await request(this._url, { headersTimeout: READ_TIMEOUT_MS, bodyTimeout: READ_TIMEOUT_MS });
			const list = platformListSchema.parse(await response.body.json());
			this._onDidRead.fire(list.targets);
		} catch (error) {
			this._log.warn('cannot read platform list', { task: 'dispatch', error: (error as Error).message });
		} finally {
			this._isPolling = false;
		}
	}
}
