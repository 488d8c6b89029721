/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Reads bodies of requests whole; apart from the listener, since its library is large and not every process reads any. */

import type { IncomingMessage } from 'node:http';
import { buffer } from 'node:stream/consumers';
import { BodyTooLargeError } from './bodyTooLargeError.js';

/** Hands the pieces of a body on until they are more than allowed. */
async function* limited(request: IncomingMessage, limitBytes: number): AsyncGenerator<Buffer> {
	let size = 0;
	// A stream that is left early must live on: whoever sent too much still gets an answer.
	for await (const piece of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
		size += piece.length;
		if (size > limitBytes) {
			throw new BodyTooLargeError(limitBytes);
		}
		yield piece;
	}
}

/**
 * Reads the body of a request.
 * @param limitBytes most bytes allowed
 * @throws BodyTooLargeError the body is larger; the rest of it is not read
 */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
	if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
		throw new BodyTooLargeError(limitBytes);
	}
	return buffer(limited(request, limitBytes));
}
