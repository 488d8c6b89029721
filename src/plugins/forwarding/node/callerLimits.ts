/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Enforces the limits of the route table on requests of callers, before anything of them is sent to a target. */

import type { IncomingMessage } from 'node:http';
import { RefusalReason } from '../../../base/verdict.js';
import type { CallerLimits } from '../../routes/common/routeTable.js';
import type { LocalResponse } from './callerExchange.js';

const STATUS_CONTENT_TOO_LARGE = 413;
const STATUS_HEADERS_TOO_LARGE = 431;
/** Bytes of a header line beside its name and value. */
const HEADER_LINE_BYTES = 4;

/**
 * The response to a request beyond the limits; undefined where it keeps within them or there are none. A body whose length is not
 * announced is counted as it comes.
 */
export function refuseByLimits(request: IncomingMessage, limits: CallerLimits | undefined): LocalResponse | undefined {
	if (!limits) {
		return undefined;
	}
	if (headerBytes(request) > limits.maxHeaderBytes) {
		return { status: STATUS_HEADERS_TOO_LARGE, verdict: 'not-run', reason: RefusalReason.BadRequest };
	}
	if (Number(request.headers['content-length'] ?? 0) > limits.maxBodyBytes) {
		return bodyTooLargeResponse();
	}
	return undefined;
}

/** The response to a request whose body is too long, of which nothing was sent to a target. */
export function bodyTooLargeResponse(): LocalResponse {
	return {
		status: STATUS_CONTENT_TOO_LARGE,
		verdict: 'not-run',
		reason: RefusalReason.BodyTooLarge,
		closesConnection: true
	};
}

function headerBytes({ rawHeaders, url }: IncomingMessage): number {
	let bytes = (url?.length ?? 0) + (rawHeaders.length / 2) * HEADER_LINE_BYTES;
	for (const text of rawHeaders) {
		bytes += text.length;
	}
	return bytes;
}
