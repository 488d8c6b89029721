/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Reads bodies of requests whole; apart from the listener, since its library is large and not every process reads any. */

import type { IncomingMessage } from 'node:http';
import getRawBody from 'raw-body';
import { BodyTooLargeError } from './bodyTooLargeError.js';

/**
 * Reads the body of a request.
 * @param limitBytes most bytes allowed
 * @throws BodyTooLargeError the body is larger; the rest of it is not read
 */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
	try {
		return await getRawBody(request, { length: request.headers['content-length'], limit: limitBytes });
	} catch (error) {
		if ((error as { type?: string }).type === 'entity.too.large') {
			throw new BodyTooLargeError(limitBytes);
		}
		throw error;
	}
}
