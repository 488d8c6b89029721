/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Queue of messages for a task, which handles them in batches, in order of arrival. */

import type { IDisposable } from './disposable.js';

/**
 * Passes messages to a handler, one batch at a time. Messages that arrive while the handler is running form the next
 * batch, so that one disk sync can serve many writes.
 */
export class Mailbox<T> implements IDisposable {
	private _pending: T[] = [];
	private _isHandling = false;
	private _isDisposed = false;

	/**
	 * @param _handle handles one batch; not called again until its promise settles
	 * @param _onError receives errors of the handler; the messages of that batch are not retried
	 */
	constructor(
		private readonly _handle: (batch: T[]) => Promise<void>,
		private readonly _onError: (error: Error) => void
	) {}

	/** Adds a message; it is handled asynchronously. After `dispose` it is dropped. */
	post(message: T): void {
		if (this._isDisposed) {
			return;
		}
		this._pending.push(message);
		if (!this._isHandling) {
			this._isHandling = true;
			queueMicrotask(() => void this._handleBatches());
		}
	}

	/** Removes and returns the messages that have not been passed to the handler yet. */
	takePending(): T[] {
		const pending = this._pending;
		this._pending = [];
		return pending;
	}

	dispose(): void {
		this._isDisposed = true;
		this._pending = [];
	}

	private async _handleBatches(): Promise<void> {
		while (this._pending.length > 0) {
			const batch = this._pending;
			this._pending = [];
			try {
				await this._handle(batch);
			} catch (error) {
				this._onError(error as Error);
			}
		}
		this._isHandling = false;
	}
}
