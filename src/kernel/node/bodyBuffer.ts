/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Collects the chunks of a body in one buffer. A chunk of a few bytes costs a hundred times as much while it is kept as an object of its
 * own, and keeps the block alive that it was read into.
 */

import { BodyEvictedError } from './bodyEvictedError.js';
import { BodyTooLargeError } from './bodyTooLargeError.js';
import type { IBodyAccount, IHeldBody } from '../common/bodyAccount.js';

const INITIAL_BYTES = 1024;

/** A body that is being received. */
export class BodyBuffer {
	private readonly _held: IHeldBody;
	private _buffer: Buffer = Buffer.alloc(0);
	private _length = 0;
	private _isEvicted = false;

	/**
	 * @param _limitBytes maximum size of the body
	 * @param onEvicted called where the body has to give up its bytes for others; what follows of it must not be appended
	 */
	constructor(
		private readonly _account: IBodyAccount,
		private readonly _limitBytes: number,
		onEvicted: () => void
	) {
		this._held = _account.hold(() => {
			this._isEvicted = true;
			this._buffer = Buffer.alloc(0);
			onEvicted();
		});
	}

	/** Bytes received so far. */
	get length(): number {
		return this._length;
	}

	/**
	 * Adds a copy of a chunk.
	 * @throws BodyTooLargeError the body is larger than its limit, or than the account
	 * @throws BodyEvictedError the body has given up its bytes
	 */
	append(chunk: Buffer): void {
		if (this._isEvicted) {
			throw new BodyEvictedError();
		}
		const length = this._length + chunk.length;
		if (length > this._limitBytes) {
			throw new BodyTooLargeError(this._limitBytes);
		}
		this._reserve(length);
		chunk.copy(this._buffer, this._length);
		this._length = length;
	}

	/** The bytes received so far, which the account no longer counts. */
	take(): Buffer {
		this.release();
		return this._buffer.subarray(0, this._length);
	}

	/** Gives up the bytes. */
	release(): void {
		this._held.release();
	}

	private _reserve(length: number): void {
		const capacity =
			length <= this._buffer.length
				? this._buffer.length
				: Math.min(this._limitBytes, Math.max(length, INITIAL_BYTES, this._buffer.length * 2));
		if (!this._held.tryResize(capacity)) {
			throw new BodyTooLargeError(this._account.limitBytes);
		}
		if (capacity > this._buffer.length) {
			this._account.recordGarbage(this._buffer.length);
			const grown = Buffer.allocUnsafeSlow(capacity);
			this._buffer.copy(grown, 0, 0, this._length);
			this._buffer = grown;
		}
	}
}
