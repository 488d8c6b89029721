/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The response for a request that has none of a target. */

import { RefusalReason, type RequestError } from '../../../base/verdict.js';
import { type HttpResponse, sendJson } from '../../../kernel/node/httpListener.js';

const MS_PER_SECOND = 1000;

/** Sends the response for a request that this instance refused or that failed. */
export function sendRequestError(response: HttpResponse, error: RequestError, requestId: string): void {
	if (response.destroyed) {
		return;
	}
	response.setHeader('Shelffield-Verdict', error.verdict);
	response.setHeader('Shelffield-Request-Id', requestId);
	if (error.retryAfterMs !== undefined) {
		response.setHeader('Retry-After', Math.ceil(error.retryAfterMs / MS_PER_SECOND));
	}
	if (error.reason === RefusalReason.BodyTooLarge) {
		response.setHeader('Connection', 'close');
	}
	const { verdict, reason, retryAfterMs, message } = error;
	sendJson(response, error.status, { verdict, reason, retryAfterMs, requestId, message });
}
