/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Reads request bodies into memory. */

import type { IncomingMessage } from 'node:http';
import type { IBodyAccount } from '../common/bodyAccount.js';
import { BodyBuffer } from './bodyBuffer.js';
import { BodyEvictedError } from './bodyEvictedError.js';
import { BodyTooLargeError } from './bodyTooLargeError.js';

/**
 * Reads the body of a request.
 * @param limitBytes maximum size of the body
 * @throws BodyTooLargeError the body exceeds the limit; the rest of it is not read
 * @throws BodyEvictedError the body has given up its memory for others; the rest of it is not read
 */
export async function readBody(request: IncomingMessage, limitBytes: number, account: IBodyAccount): Promise<Buffer> {
	if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
		throw new BodyTooLargeError(limitBytes);
	}
	return new Promise((resolve, reject) => {
		const body = new BodyBuffer(account, limitBytes, () => fail(new BodyEvictedError()));
		const append = (chunk: Buffer): void => {
			account.recordGarbage(chunk.length);
			try {
				body.append(chunk);
			} catch (error) {
				fail(error as Error);
			}
		};
		// The request must not be destroyed, or the error response could not be sent.
		const fail = (error: Error): void => {
			request.off('data', append);
			request.pause();
			body.release();
			reject(error);
		};
		request.on('data', append);
		request.once('end', () => resolve(body.take()));
		request.once('error', fail);
		request.once('close', () => fail(new Error('the connection closed before the end of the body')));
	});
}
