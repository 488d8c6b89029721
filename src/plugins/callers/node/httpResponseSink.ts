/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Writes the response of a target to the HTTP response for the caller. */

import { RefusalReason, RequestError } from '../../../base/verdict.js';
import { trySetAbortiveClose } from '../../../kernel/node/abortiveClose.js';
import type { HttpResponse } from '../../../kernel/node/httpListener.js';
import type { ResponseSink } from '../../dispatch/common/dispatch.js';
import { sendRequestError } from './requestErrorResponse.js';

const STATUS_BAD_GATEWAY = 502;
/** Statuses of responses without a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** A response sink that writes to an HTTP response. */
export class HttpResponseSink implements ResponseSink {
	private _isReplaced = false;

	/** @param _requestId sent to the caller as `Shelffield-Request-Id` */
	constructor(
		private readonly _response: HttpResponse,
		private readonly _requestId: string
	) {}

	start(status: number, headers: readonly string[], endsWithConnection: boolean): void {
		const sentHeaders = [...headers, 'Shelffield-Verdict', 'ran', 'Shelffield-Request-Id', this._requestId];
		if (endsWithConnection || this._cannotStateEnd(status, headers)) {
			if (!this._tryBeginUnframed()) {
				this._replaceResponse();
				return;
			}
			sentHeaders.push('Connection', 'close');
		}
		this._response.writeHead(status, sentHeaders);
	}

	write(chunk: Buffer): boolean {
		return this._isReplaced || this._response.write(chunk);
	}

	onDrain(callback: () => void): void {
		this._response.once('drain', callback);
	}

	end(): void {
		this._response.end();
	}

	abort(): void {
		this._response.destroy();
	}

	/** Whether there is a body that needs chunks and the caller, one that speaks HTTP/1.0, knows none. */
	private _cannotStateEnd(status: number, headers: readonly string[]): boolean {
		const { req, useChunkedEncodingByDefault: hasChunks } = this._response;
		const hasLength = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length');
		return !hasChunks && !hasLength && req.method !== 'HEAD' && !BODILESS_STATUSES.has(status);
	}

	/** Has the connection end with a reset, whatever closes it, until the operating system has the whole response. */
	private _tryBeginUnframed(): boolean {
		const { socket } = this._response.req;
		if (!trySetAbortiveClose(socket, true)) {
			return false;
		}
		const reset = (): void => void socket.resetAndDestroy();
		// Before the HTTP server's own listeners, which close the connection in order.
		socket.prependListener('end', reset);
		this._response.prependOnceListener('finish', () => {
			socket.removeListener('end', reset);
			trySetAbortiveClose(socket, false);
		});
		this._response.useChunkedEncodingByDefault = false;
		return true;
	}

	private _replaceResponse(): void {
		this._isReplaced = true;
		const message = 'the end of the response could not be told from a connection that breaks off';
		const error = new RequestError('may-have-run', RefusalReason.TargetFailed, STATUS_BAD_GATEWAY, message);
		sendRequestError(this._response, error, this._requestId);
	}
}
