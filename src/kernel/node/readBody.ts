/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Reads request bodies into memory. Separate from the listener because it imports `node:stream/consumers`, which is large
 * and not needed by every process.
 */

import type { IncomingMessage } from 'node:http';
import { buffer } from 'node:stream/consumers';
import { BodyTooLargeError } from './bodyTooLargeError.js';

/** Yields the chunks of a body; throws `BodyTooLargeError` as soon as they exceed the limit. */
async function* limitSize(request: IncomingMessage, limitBytes: number): AsyncGenerator<Buffer> {
	let sizeBytes = 0;
	// The request must not be destroyed when the limit is exceeded, or the error response could not be sent.
	for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
		sizeBytes += chunk.length;
		if (sizeBytes > limitBytes) {
			throw new BodyTooLargeError(limitBytes);
		}
		yield chunk;
	}
}

/**
 * Reads the body of a request.
 * @param limitBytes maximum size of the body
 * @throws BodyTooLargeError the body exceeds the limit; the rest of it is not read
 */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
	if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
		throw new BodyTooLargeError(limitBytes);
	}
	return buffer(limitSize(request, limitBytes));
}
