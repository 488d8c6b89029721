/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The body of a caller's request: small ones are buffered whole, so that they can be sent again; large ones are streamed. */

import type { ClientRequest, IncomingMessage } from 'node:http';

/** A larger body is streamed; at least this much of it is buffered. */
export const MAX_BUFFERED_BYTES = 64 * 1024;

/** The caller's connection closed before the end of the request body. */
export class BodyTruncatedError extends Error {
	constructor() {
		super('caller disconnected before the end of the request body');
		this.name = 'BodyCutError';
	}
}

/** A request body, buffered whole or streamed after a buffered prefix. */
export class RequestBody {
	private _isConsumed = false;

	private constructor(
		private readonly _buffered: Buffer,
		private readonly _remainingBody: IncomingMessage | undefined
	) {}

	/**
	 * Buffers the body up to the limit; the rest of a larger one stays paused in `request`.
	 * Rejects with {@link BodyTruncatedError} where the caller disconnects before that.
	 */
	static read(request: IncomingMessage): Promise<RequestBody> {
		if (request.headers['content-length'] === undefined && request.headers['transfer-encoding'] === undefined) {
			return Promise.resolve(new RequestBody(Buffer.alloc(0), undefined));
		}
		return new Promise((resolve, reject) => {
			const chunks: Buffer[] = [];
			let size = 0;
			const finish = (rest: IncomingMessage | undefined): void => {
				request.removeAllListeners('data');
				request.removeAllListeners('end');
				resolve(new RequestBody(Buffer.concat(chunks), rest));
			};
			request.on('data', (chunk: Buffer) => {
				chunks.push(chunk);
				size += chunk.length;
				if (size > MAX_BUFFERED_BYTES) {
					request.pause();
					finish(request);
				}
			});
			request.on('end', () => finish(undefined));
			request.on('close', () => reject(new BodyTruncatedError()));
			request.on('error', () => reject(new BodyTruncatedError()));
		});
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
		request.write(this._buffered);
		this._remainingBody.pipe(request);
	}

	/** Reads the rest of a streamed body and discards it. */
	discardRest(): void {
		this._remainingBody?.unpipe();
		this._remainingBody?.resume();
	}
}
