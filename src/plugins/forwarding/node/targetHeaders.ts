/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Builds the request headers for an attempt at a target, or for relaying a request to another entry instance. */

import type { IncomingMessage } from 'node:http';
import type { Millis } from '../../../base/clock.js';
import type { IHeaderNames } from '../common/headerNames.js';
import { endToEndHeaders } from '../common/hopByHopHeaders.js';
import {
	RELAY_COUNTED_HEADER,
	RELAY_RETRY_HEADER,
	RELAY_REVISION_HEADER,
	RELAY_WRITTEN_HEADER
} from '../common/relayHeaders.js';
import type { RequestBody } from './requestBody.js';
import type { RequestContext } from './requestContext.js';

const CONTENT_LENGTH = 'content-length';

/** Builds the headers; those that this system sets itself replace the caller's. */
export class TargetHeaders {
	private readonly _replacedHeaders: ReadonlySet<string>;
	/** The peer needs the key of the team, which targets don't get. */
	private readonly _replacedForRelay: ReadonlySet<string>;

	constructor(private readonly _headerNames: IHeaderNames) {
		const { remainingMs, expectedTarget, teamKey, team } = _headerNames;
		const ownHeaders = [
			CONTENT_LENGTH,
			RELAY_REVISION_HEADER,
			RELAY_COUNTED_HEADER,
			RELAY_WRITTEN_HEADER,
			RELAY_RETRY_HEADER
		];
		this._replacedHeaders = new Set([remainingMs, expectedTarget, teamKey, team, ...ownHeaders]);
		this._replacedForRelay = new Set([remainingMs, expectedTarget, team, ...ownHeaders]);
	}

	/** The raw headers for one attempt, names and values alternating. */
	headersFor(context: RequestContext, targetId: string, now: Millis): string[] {
		const headers = this._commonHeaders(context, this._replacedHeaders, now);
		headers.push(this._headerNames.expectedTarget, targetId);
		if (context.team) {
			headers.push(this._headerNames.team, context.team.name);
		}
		return headers;
	}

	/**
	 * The raw headers for relaying a request to another entry instance, names and values alternating.
	 * @param revision least fleet revision that the request may be handled by
	 */
	relayHeadersFor(context: RequestContext, revision: number, now: Millis): string[] {
		const headers = this._commonHeaders(context, this._replacedForRelay, now);
		headers.push(RELAY_REVISION_HEADER, String(revision));
		headers.push(RELAY_WRITTEN_HEADER, String(context.writtenAttempts));
		if (context.retryPermit) {
			headers.push(RELAY_RETRY_HEADER, '1');
		}
		if (context.isCounted) {
			headers.push(RELAY_COUNTED_HEADER, '1');
		}
		return headers;
	}

	/** The caller's headers, its remaining time, and the framing of its body. */
	private _commonHeaders(context: RequestContext, replaced: ReadonlySet<string>, now: Millis): string[] {
		const { request } = context.exchange;
		const headers = endToEndHeaders(request.rawHeaders, replaced);
		const remainingMs = Math.max(1, Math.floor(context.deadline - now));
		headers.push(this._headerNames.remainingMs, String(remainingMs));
		headers.push(...bodyFramingHeaders(request, context.body));
		return headers;
	}
}

/**
 * The framing of a request body; none where the request has no body. It never depends on what the caller names as headers of its
 * connection: a target would take a body without framing for the next request.
 */
function bodyFramingHeaders({ headers }: IncomingMessage, { bufferedLength }: RequestBody): string[] {
	const declaredLength = headers[CONTENT_LENGTH];
	if (declaredLength === undefined && headers['transfer-encoding'] === undefined) {
		return [];
	}
	const length = bufferedLength ?? declaredLength;
	return length === undefined ? ['Transfer-Encoding', 'chunked'] : ['Content-Length', String(length)];
}
