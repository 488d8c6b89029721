/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Reads the body of a response of a target, which may come in any number of chunks. */

import type { IncomingMessage } from 'node:http';
import type { ITurnTaker, TurnQueue } from '../../../../kernel/common/turnQueue.js';

/** Chunks of a response after which others get their turn. */
const MAX_CHUNKS_PER_TURN = 1000;

/**
 * Reads a response while it is not paused, and lets others go first after a number of chunks. Stops the connection rather than the
 * response, so that what waits is held as the bytes that came and not as chunks, each of which would be an object of its own; chunks
 * that were read at once with the last one are still handed over.
 */
export class ResponseReader implements ITurnTaker {
	private _taken = 0;
	private _isPaused = false;
	private _isWaiting = false;
	private _isReadDue = false;

	/** @param onChunk called with each chunk; may be replaced */
	constructor(
		readonly response: IncomingMessage,
		private readonly _turns: TurnQueue<ITurnTaker>,
		public onChunk: (chunk: Buffer) => void
	) {
		const read = response._read.bind(response);
		response._read = size => {
			// Would resume the connection.
			if (this._isStopped) {
				this._isReadDue = true;
			} else {
				read(size);
			}
		};
		response.on('data', (chunk: Buffer) => this._onData(chunk));
	}

	/** Stops the connection. */
	pause(): void {
		this._isPaused = true;
		this._stop();
	}

	/** Reads on. */
	resume(): void {
		if (this._isPaused) {
			this._isPaused = false;
			this._start();
		}
	}

	runTurn(): void {
		this._taken = 0;
		this._isWaiting = false;
		this._start();
	}

	private get _isStopped(): boolean {
		return this._isPaused || this._isWaiting;
	}

	private _onData(chunk: Buffer): void {
		if (++this._taken >= MAX_CHUNKS_PER_TURN && !this._isWaiting) {
			this._isWaiting = true;
			this._stop();
			this._turns.add(this);
		}
		this.onChunk(chunk);
	}

	/** After the end, the connection may carry another response. */
	private _stop(): void {
		if (!this.response.complete) {
			this.response.socket.pause();
		}
	}

	private _start(): void {
		if (this._isStopped || this.response.complete || this.response.destroyed) {
			return;
		}
		this.response.socket.resume();
		if (this._isReadDue) {
			this._isReadDue = false;
			this.response._read(0);
		}
	}
}
