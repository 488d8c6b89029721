/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The rest of a response that is streamed, with small chunks copied together. */

import { Readable } from 'node:stream';
import { ChunkList } from '../../common/chunkList.js';
import type { ResponseReader } from './responseReader.js';

/** The response is read on while less than this waits for the reader. */
const MAX_WAITING_BYTES = 16 * 1024;
/** A chunk is handed over only when the one before it was read. */
const HIGH_WATER_MARK_BYTES = 1;

/** Hands over, at most once in a turn of the event loop, what has arrived; ends or fails as the response does. */
export class CoalescedBody extends Readable {
	private readonly _waiting = new ChunkList();
	private _isWanted = false;
	private _hasEnded = false;
	private _flush: NodeJS.Immediate | undefined;

	/** Takes over a response; its reader is paused until this stream is read. */
	constructor(private readonly _reader: ResponseReader) {
		super({ highWaterMark: HIGH_WATER_MARK_BYTES });
		_reader.pause();
		_reader.onChunk = chunk => this._onChunk(chunk);
		const { response } = _reader;
		response.on('end', () => this._onEnd());
		response.on('error', error => this.destroy(error));
		response.on('close', () => this._onClose());
	}

	override _read(): void {
		this._isWanted = true;
		this._scheduleFlush();
		this._resumeReader();
	}

	override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
		clearImmediate(this._flush);
		this._waiting.take();
		if (!this._hasEnded) {
			this._reader.response.destroy();
		}
		done(error);
	}

	private _onChunk(chunk: Buffer): void {
		if (this.destroyed) {
			return;
		}
		this._waiting.add(chunk);
		this._scheduleFlush();
		if (this._waiting.bytes >= MAX_WAITING_BYTES) {
			this._reader.pause();
		}
	}

	private _onEnd(): void {
		if (!this._reader.response.complete) {
			this.destroy(new Error('response broke off'));
			return;
		}
		this._hasEnded = true;
		this._scheduleFlush();
	}

	private _onClose(): void {
		if (!this._hasEnded) {
			this.destroy(new Error('response closed before its end'));
		}
	}

	private _scheduleFlush(): void {
		if (this._isWanted) {
			this._flush ??= setImmediate(() => this._handOver());
		}
	}

	private _handOver(): void {
		this._flush = undefined;
		if (this._waiting.bytes > 0) {
			this._isWanted = false;
			this.push(this._waiting.take());
			this._resumeReader();
		}
		if (this._hasEnded && this._waiting.bytes === 0) {
			this.push(null);
		}
	}

	private _resumeReader(): void {
		if (!this._hasEnded && this._waiting.bytes < MAX_WAITING_BYTES) {
			this._reader.resume();
		}
	}
}
