/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The socket of a caller as the HTTP parser sees it: the parser gets the bytes in small slices, and only while a further request
 * may be read, so that few requests are parsed ahead of those that are served.
 */

import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { type Millis, systemClock } from '../../../base/clock.js';
import type { IBodyAccount, IHeldBody } from '../../../kernel/common/bodyAccount.js';
import { trySetAbortiveClose } from '../../../kernel/node/abortiveClose.js';
import { mayHoldManyChunks } from '../common/bodyGranularity.js';

/** Bytes passed to the parser at a time while a request is expected: a few requests of usual size. */
const HEADER_SLICE_BYTES = 1024;
/** The same while the body of a request is being read. */
const BODY_SLICE_BYTES = 16 * 1024;
/**
 * Bytes that are read from the caller ahead of the parser. Reading goes on to that extent since the close of a connection arrives
 * behind them.
 */
const READ_AHEAD_BYTES = 16 * 1024;
/** Bytes of one read, which may follow after reading was paused. */
const READ_BYTES = 64 * 1024;
/**
 * How long what a caller still sends is discarded after the last response. Closing with unread bytes would reset the connection, and
 * the caller could lose responses that it has not read.
 */
const LINGER_MS: Millis = 1000;

/** Decides how much the parser gets. */
export interface IReadControl {
	/** Whether the parser may get further bytes now. */
	mayFeed(): boolean;
	/** Whether the next bytes belong to the body of a request. */
	isInBody(): boolean;
	/** Takes a turn for a part of a body that is costly to parse; where it returns false, `feed` is called again in a later turn of the event loop. */
	tryTakeTurn(): boolean;
	/** Bytes of the headers of a request that the parser has got in part. */
	readonly headerBytes: number;
	/** How long bytes that are read now may have waited for the event loop. */
	readDelayMs(): Millis;
	/** Called before the parser gets bytes. */
	onFeed(bytes: number): void;
}

interface HeldChunk {
	readonly data: Buffer;
	readonly arrivedAt: Millis;
}

/** Wraps a caller's socket for the HTTP server. */
export class CallerSocket extends Duplex {
	/** When the bytes that the parser got last arrived, on the monotonic clock. */
	fedArrivedAt: Millis = systemClock.now();
	/** Bytes that were passed on for the caller. */
	sentBytes = 0;
	/** Whether closing waits for the caller, which may have sent requests that stay unread. */
	lingers = false;
	/** Called when the connection is closed since the caller reads nothing. */
	onUnread?: () => void;
	/** Called when the memory for what was read ahead is needed for others. */
	onEvicted?: () => void;
	private readonly _retained: IHeldBody;
	private _retainedBytes = 0;
	private readonly _held: HeldChunk[] = [];
	private _heldBytes = 0;
	private _isWanted = false;
	private _isFeeding = false;
	private _isClosing = false;
	private _hasCallerEnded = false;
	private _isUnread = false;
	private _mustReset = false;
	private _timeoutMs: Millis = 0;

	/** @param _unreadTimeoutMs how long data may wait without any of it being read */
	constructor(
		private readonly _raw: Socket,
		private readonly _control: IReadControl,
		private readonly _account: IBodyAccount,
		private readonly _unreadTimeoutMs: Millis
	) {
		// A mark of 1 byte keeps the stream from buffering more than one slice.
		super({ allowHalfOpen: true, readableHighWaterMark: 1, decodeStrings: false });
		this._retained = _account.hold(() => this.onEvicted?.());
		_raw.on('data', (data: Buffer) => this._onData(data));
		_raw.on('end', () => this._onCallerEnd());
		_raw.on('error', error => this.destroy(error));
		_raw.on('close', () => this.destroy());
		_raw.on('timeout', () => this._onTimeout());
	}

	/** Bytes that were read from the caller and not passed to the parser. */
	get heldBytes(): number {
		return this._heldBytes;
	}

	/** Whether the last response was sent and the connection is being closed. */
	get isClosing(): boolean {
		return this._isClosing;
	}

	/** As `Socket.setTimeout`; the HTTP server uses it for idle connections. */
	setTimeout(ms: Millis): this {
		this._timeoutMs = ms;
		if (!this._isUnread) {
			this._raw.setTimeout(ms);
		}
		return this;
	}

	/** Passes bytes to the parser as far as the control allows. */
	feed(): void {
		if (this._isFeeding) {
			return;
		}
		this._isFeeding = true;
		while (this._isWanted && this._held.length > 0 && !this.destroyed && this._control.mayFeed()) {
			const slice = this._nextSlice();
			if (this._control.isInBody() && mayHoldManyChunks(slice) && !this._control.tryTakeTurn()) {
				break;
			}
			this._dropSlice(slice);
			this._control.onFeed(slice.length);
			this._isWanted = this.push(slice);
		}
		this._isFeeding = false;
		this._updateReading();
		this._updateAccount();
	}

	/** As `Socket.destroySoon`: closes the connection after all data was sent. What the caller sends meanwhile is discarded. */
	destroySoon(): void {
		if (this._isClosing || this.destroyed) {
			return;
		}
		if (this._mustReset) {
			this.resetAndDestroy();
			return;
		}
		this._isClosing = true;
		this._discardHeld();
		this._raw.resume();
		if (!this.writableEnded) {
			this.end();
		}
		if (this.writableFinished) {
			this._linger();
		} else {
			this.once('finish', () => this._linger());
		}
	}

	/**
	 * Has the connection end with a reset, whatever closes it, until {@link allowOrderlyClose} is called.
	 * @returns false where the operating system does not support that
	 */
	tryPreventOrderlyClose(): boolean {
		this._mustReset = trySetAbortiveClose(this._raw, true);
		return this._mustReset;
	}

	/** Lets the connection be closed in order again. */
	allowOrderlyClose(): void {
		this._mustReset = false;
		trySetAbortiveClose(this._raw, false);
	}

	/** Closes the connection with a reset, which no caller takes for the end of a response. */
	resetAndDestroy(): void {
		this._raw.resetAndDestroy();
		this.destroy();
	}

	override _read(): void {
		this._isWanted = true;
		this.feed();
	}

	override _write(chunk: Buffer | string, encoding: BufferEncoding, done: (error?: Error | null) => void): void {
		this.sentBytes += chunk.length;
		this._raw.write(chunk, encoding, error => this._onWritten(error, done));
		this._watchReader();
	}

	override _writev(
		chunks: { chunk: Buffer | string; encoding: BufferEncoding }[],
		done: (error?: Error | null) => void
	): void {
		this._raw.cork();
		chunks.forEach(({ chunk, encoding }, index) => {
			this.sentBytes += chunk.length;
			const isLast = index === chunks.length - 1;
			this._raw.write(chunk, encoding, isLast ? error => this._onWritten(error, done) : undefined);
		});
		this._raw.uncork();
		this._watchReader();
	}

	override _final(done: (error?: Error | null) => void): void {
		this._raw.end(() => done());
	}

	override _destroy(error: Error | null, done: (error: Error | null) => void): void {
		this._discardHeld();
		this._retained.release();
		this._raw.destroy();
		done(error);
	}

	private _onData(data: Buffer): void {
		if (this._isClosing || this._hasCallerEnded) {
			return;
		}
		this._held.push({ data, arrivedAt: systemClock.now() - this._control.readDelayMs() });
		this._heldBytes += data.length;
		this._account.recordGarbage(data.length);
		this.feed();
	}

	private _onCallerEnd(): void {
		this._hasCallerEnded = true;
		this._discardHeld();
		this.push(null);
		// The parser does not see the end while it gets no data, but the caller has left.
		if (this._isClosing && this.writableFinished) {
			this.destroy();
		} else {
			this.destroySoon();
		}
	}

	private _nextSlice(): Buffer {
		const maxBytes = this._control.isInBody() ? BODY_SLICE_BYTES : HEADER_SLICE_BYTES;
		return this._held[0]!.data.subarray(0, maxBytes);
	}

	private _dropSlice(slice: Buffer): void {
		const { data, arrivedAt } = this._held[0]!;
		this.fedArrivedAt = arrivedAt;
		if (data.length === slice.length) {
			this._held.shift();
		} else {
			this._held[0] = { data: data.subarray(slice.length), arrivedAt };
		}
		this._heldBytes -= slice.length;
	}

	private _discardHeld(): void {
		this._held.length = 0;
		this._heldBytes = 0;
		this._updateAccount();
	}

	/** Counts what is kept of this connection until its caller has sent more, or until more of it is wanted. */
	private _updateAccount(): void {
		const { _isFeeding: isFeeding, _isClosing: isClosing, destroyed } = this;
		if (isFeeding || destroyed) {
			return;
		}
		const bytes = isClosing ? 0 : this._control.headerBytes + this._blockBytes();
		if (bytes === 0 && this._retainedBytes === 0) {
			return;
		}
		this._retainedBytes = bytes;
		if (bytes === 0) {
			this._retained.release();
		} else if (!this._retained.tryResize(bytes)) {
			this.onEvicted?.();
		}
	}

	/** A slice keeps the block alive that it was read into. */
	private _blockBytes(): number {
		const pausedBytes = this._heldBytes >= READ_AHEAD_BYTES ? READ_BYTES : 0;
		return this._held.reduce((total, { data }) => total + data.buffer.byteLength, pausedBytes);
	}

	private _updateReading(): void {
		if (this._isClosing || this.destroyed) {
			return;
		}
		const isFull = this._heldBytes >= READ_AHEAD_BYTES;
		if (isFull && !this._raw.isPaused()) {
			this._raw.pause();
		} else if (!isFull && this._raw.isPaused()) {
			this._raw.resume();
		}
	}

	private _onWritten(error: Error | null | undefined, done: (error?: Error | null) => void): void {
		if (this._isUnread) {
			this._isUnread = false;
			this._raw.setTimeout(this._timeoutMs);
		}
		done(error);
	}

	/** Starts the timeout for a caller that does not read; partial progress restarts it. */
	private _watchReader(): void {
		if (this._raw.writableLength > 0 && !this._isUnread) {
			this._isUnread = true;
			this._raw.setTimeout(this._unreadTimeoutMs);
		}
	}

	private _onTimeout(): void {
		if (this._isUnread) {
			this.onUnread?.();
			this.destroy();
			return;
		}
		this.emit('timeout');
	}

	private _linger(): void {
		if (!this.lingers || this._hasCallerEnded) {
			this.destroy();
			return;
		}
		const timer = setTimeout(() => this.destroy(), LINGER_MS);
		this.once('close', () => clearTimeout(timer));
	}
}
