/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The body of a caller's request: small ones are buffered whole, so that they can be sent again; large ones are streamed. */

import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Millis } from '../../../base/clock.js';
import type { IBodyAccount } from '../../../kernel/common/bodyAccount.js';
import { BodyBuffer } from '../../../kernel/node/bodyBuffer.js';
import { BodyEvictedError } from '../../../kernel/node/bodyEvictedError.js';
import { BodyTooLargeError } from '../../../kernel/node/bodyTooLargeError.js';

/** A larger body is streamed; this much of it is buffered. */
export const MAX_BUFFERED_BYTES = 64 * 1024;

/** The caller's connection closed before the end of the request body. */
export class BodyTruncatedError extends Error {
	constructor() {
		super('caller disconnected before the end of the request body');
		this.name = 'BodyTruncatedError';
	}
}

/** The buffered part of the body did not come in time. */
export class BodyLateError extends Error {
	constructor() {
		super('the beginning of the request body did not come in time');
		this.name = 'BodyLateError';
	}
}

/** Limits of one body. */
export interface BodyLimits {
	/** How long the buffered part may take; any time if omitted. */
	readonly timeoutMs?: Millis;
	/** Size of the whole body; any if omitted. */
	readonly maxBytes?: number;
	/** Called where a streamed body exceeds its size, of which a target may have the beginning; nothing more of it is passed on. */
	readonly onTooLarge?: () => void;
}

/** The buffered part of a body. */
interface BodyBeginning {
	readonly bytes: Buffer;
	readonly isComplete: boolean;
}

/** Buffers a body until its end, or up to the limit; the rest of a longer one stays in `request`, which is paused. */
function readBeginning(
	request: IncomingMessage,
	account: IBodyAccount,
	{ timeoutMs, maxBytes = Number.POSITIVE_INFINITY }: BodyLimits
): Promise<BodyBeginning> {
	return new Promise((resolve, reject) => {
		const buffer = new BodyBuffer(account, MAX_BUFFERED_BYTES, () => fail(new BodyEvictedError()));
		const timer = timeoutMs === undefined ? undefined : setTimeout(() => fail(new BodyLateError()), timeoutMs);
		const stop = (): void => {
			clearTimeout(timer);
			request.removeListener('data', onData);
			request.removeListener('end', onEnd);
			request.removeListener('close', onTruncated);
			request.removeListener('error', onTruncated);
			request.on('error', ignoreError);
		};
		const finish = (isComplete: boolean): void => {
			stop();
			resolve({ bytes: buffer.take(), isComplete });
		};
		const fail = (error: Error): void => {
			stop();
			buffer.release();
			reject(error);
		};
		const onEnd = (): void => finish(true);
		const onTruncated = (): void => fail(new BodyTruncatedError());
		const onData = (chunk: Buffer): void => {
			if (buffer.length + chunk.length > maxBytes) {
				fail(new BodyTooLargeError(maxBytes));
				return;
			}
			const buffered = chunk.subarray(0, MAX_BUFFERED_BYTES - buffer.length);
			try {
				buffer.append(buffered);
			} catch {
				// An account that has no room for the beginning of one body is as good as full.
				fail(new BodyEvictedError());
				return;
			}
			if (buffered.length < chunk.length) {
				request.pause();
				request.unshift(chunk.subarray(buffered.length));
				finish(false);
			}
		};
		request.on('data', onData);
		request.on('end', onEnd);
		request.on('close', onTruncated);
		request.on('error', onTruncated);
	});
}

/**
 * Passes a body on to a target. All that has been read by then goes on as one chunk, as chunks may come in one byte each. Nothing of
 * the rest is read before the target has taken the beginning, since a connection that does not come up must not use it up.
 * @returns function that ends it
 */
function stream(
	beginning: Buffer,
	body: IncomingMessage,
	target: ClientRequest,
	{ maxBytes = Number.POSITIVE_INFINITY, onTooLarge }: BodyLimits
): () => void {
	let bytes = beginning.length;
	const pass = (): void => {
		let chunk: Buffer | null;
		while ((chunk = body.read() as Buffer | null) !== null) {
			bytes += chunk.length;
			if (bytes > maxBytes) {
				stop();
				onTooLarge?.();
				return;
			}
			if (!target.write(chunk)) {
				body.removeListener('readable', pass);
				target.once('drain', resume);
				return;
			}
		}
	};
	const resume = (): void => void body.on('readable', pass);
	const end = (): void => void target.end();
	const stop = (): void => {
		body.removeListener('readable', pass);
		body.removeListener('end', end);
		target.removeListener('drain', resume);
	};
	body.once('end', end);
	target.once('close', stop);
	if (target.write(beginning)) {
		resume();
	} else {
		target.once('drain', resume);
	}
	return stop;
}

/** The caller's disconnection is handled by its exchange. */
function ignoreError(): void {}

/** A request body, buffered whole or streamed after a buffered prefix. */
export class RequestBody {
	private _isConsumed = false;
	private _stopStreaming: () => void = () => undefined;

	private constructor(
		private readonly _buffered: Buffer,
		private readonly _remainingBody: IncomingMessage | undefined,
		private readonly _limits: BodyLimits = {}
	) {}

	/**
	 * Buffers the body up to the limit; the rest of a larger one stays paused in `request`.
	 * Rejects with {@link BodyTruncatedError} where the caller disconnects before that, and with {@link BodyEvictedError} where the account
	 * has no room for it. Beyond the limits it rejects with {@link BodyLateError} or {@link BodyTooLargeError}.
	 */
	static async read(request: IncomingMessage, account: IBodyAccount, limits: BodyLimits = {}): Promise<RequestBody> {
		if (request.headers['content-length'] === undefined && request.headers['transfer-encoding'] === undefined) {
			return new RequestBody(Buffer.alloc(0), undefined);
		}
		const { bytes, isComplete } = await readBeginning(request, account, limits);
		return new RequestBody(bytes, isComplete ? undefined : request, limits);
	}

	/** Whether the body can be sent: always for a buffered one, only until {@link writeTo} was called for a streamed one. */
	get canBeSent(): boolean {
		return !this._isConsumed;
	}

	/** Length in bytes of a body that is buffered whole; undefined for a streamed one. */
	get bufferedLength(): number | undefined {
		return this._remainingBody ? undefined : this._buffered.length;
	}

	/** The buffered bytes: the whole body, or the beginning of a streamed one. */
	get prefix(): Buffer {
		return this._buffered;
	}

	/** Writes the body to a target and ends the request. */
	writeTo(request: ClientRequest): void {
		if (!this._remainingBody) {
			request.end(this._buffered.length > 0 ? this._buffered : undefined);
			return;
		}
		this._isConsumed = true;
		this._stopStreaming();
		this._stopStreaming = stream(this._buffered, this._remainingBody, request, this._limits);
	}

	/** Reads the rest of a streamed body and discards it. */
	discardRest(): void {
		this._stopStreaming();
		this._remainingBody?.resume();
	}
}
