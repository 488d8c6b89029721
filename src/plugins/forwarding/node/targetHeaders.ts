/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Builds the request headers for an attempt at a target. */

import type { Millis } from '../../../base/clock.js';
import type { IHeaderNames } from '../common/headerNames.js';
import { endToEndHeaders } from '../common/hopByHopHeaders.js';
import type { RequestContext } from './requestContext.js';

/** Builds the headers; those that this system sets itself replace the caller's. */
export class TargetHeaders {
	private readonly _replacedHeaders: ReadonlySet<string>;

	constructor(private readonly _headerNames: IHeaderNames) {
		const { remainingMs, expectedTarget, teamKey, team } = _headerNames;
		this._replacedHeaders = new Set([remainingMs, expectedTarget, teamKey, team]);
	}

	/** The raw headers for one attempt, names and values alternating. */
	headersFor(context: RequestContext, targetId: string, now: Millis): string[] {
		const { request } = context.exchange;
		const headers = endToEndHeaders(request.rawHeaders, this._replacedHeaders);
		const remainingMs = Math.max(1, Math.floor(context.deadline - now));
		headers.push(this._headerNames.remainingMs, String(remainingMs), this._headerNames.expectedTarget, targetId);
		if (context.team) {
			headers.push(this._headerNames.team, context.team.name);
		}
		if (request.headers['transfer-encoding'] !== undefined) {
			headers.push(...bodyFramingHeaders(context.body.bufferedLength));
		}
		return headers;
	}
}

/** The framing of a body that arrived chunked: by its length where it is buffered whole. */
function bodyFramingHeaders(bufferedLength: number | undefined): string[] {
	return bufferedLength === undefined ? ['Transfer-Encoding', 'chunked'] : ['Content-Length', String(bufferedLength)];
}
