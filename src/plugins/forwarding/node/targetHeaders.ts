/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Builds the request headers for an attempt at a target, or for relaying a request to another entry instance. */

import type { Millis } from '../../../base/clock.js';
import type { IHeaderNames } from '../common/headerNames.js';
import { endToEndHeaders } from '../common/hopByHopHeaders.js';
import {
	RELAY_COUNTED_HEADER,
	RELAY_RETRY_HEADER,
	RELAY_REVISION_HEADER,
	RELAY_WRITTEN_HEADER
} from '../common/relayHeaders.js';
import type { RequestContext } from './requestContext.js';

/** Builds the headers; those that this system sets itself replace the caller's. */
export class TargetHeaders {
	private readonly _replacedHeaders: ReadonlySet<string>;
	/** The peer needs the key of the team, which targets don't get. */
	private readonly _replacedForRelay: ReadonlySet<string>;

	constructor(private readonly _headerNames: IHeaderNames) {
		const { remainingMs, expectedTarget, teamKey, team } = _headerNames;
		const relayHeaders = [RELAY_REVISION_HEADER, RELAY_COUNTED_HEADER, RELAY_WRITTEN_HEADER, RELAY_RETRY_HEADER];
		this._replacedHeaders = new Set([remainingMs, expectedTarget, teamKey, team, ...relayHeaders]);
		this._replacedForRelay = new Set([remainingMs, expectedTarget, team, ...relayHeaders]);
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
