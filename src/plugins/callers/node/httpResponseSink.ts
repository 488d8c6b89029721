/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Writes the response of a target to the HTTP response for the caller. */

import type { HttpResponse } from '../../../kernel/node/httpListener.js';
import type { ResponseSink } from '../../dispatch/common/dispatch.js';

/** A response sink that writes to an HTTP response. */
export class HttpResponseSink implements ResponseSink {
	/** @param _requestId sent to the caller as `Shelffield-Request-Id` */
	constructor(
		private readonly _response: HttpResponse,
		private readonly _requestId: string
	) {}

	start(status: number, headers: readonly string[]): void {
		const addedHeaders = ['Shelffield-Verdict', 'ran', 'Shelffield-Request-Id', this._requestId];
		this._response.writeHead(status, [...headers, ...addedHeaders]);
	}

	write(chunk: Buffer): boolean {
		return this._response.write(chunk);
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
}
