/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Computes the identity by which a repeated request is recognized. */

import { createHash } from 'node:crypto';
import { hash32 } from '../../../base/hashing.js';
import type { RequestIdentity } from '../../fleet/common/requestIdentity.js';
import type { CallerExchange } from './callerExchange.js';
import { MAX_BUFFERED_BYTES } from './requestBody.js';
import type { RequestContext } from './requestContext.js';

/** Hash of host and path, which rules out most requests without computing a digest. */
export function pathHashOf({ host, path }: CallerExchange): number {
	return hash32(`${host.toLowerCase()} ${path}`);
}

/**
 * The identity of a request, from API key, method, host, path and body. The key keeps equal requests of different callers apart. Of a
 * streamed body only the beginning and the Content-Length are included.
 */
export function identityOf(context: RequestContext): RequestIdentity {
	context.identity ??= computeIdentity(context);
	return context.identity;
}

function computeIdentity({ exchange, body }: RequestContext): RequestIdentity {
	const { request, host, path, keyDigest } = exchange;
	const length = body.bufferedLength ?? request.headers['content-length'] ?? 'unknown';
	const parts = [keyDigest ?? '', request.method ?? '', host.toLowerCase(), path, String(length)];
	// More of a streamed body may be buffered, depending on how it arrived.
	const hash = createHash('sha256').update(JSON.stringify(parts)).update(body.prefix.subarray(0, MAX_BUFFERED_BYTES));
	return { digest: hash.digest('base64url'), pathHash: pathHashOf(exchange) };
}
