/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The headers with which a request goes to a target. */

import type { Millis } from '../../../base/clock.js';
import type { IHeaderNames } from '../common/headerNames.js';
import { passedHeaders } from '../common/hopHeaders.js';
import type { Journey } from './journey.js';

/** Writes the headers; what this system says itself takes the place of what the caller said. */
export class TargetHeaders {
	private readonly _dropped: ReadonlySet<string>;

	constructor(private readonly _names: IHeaderNames) {
		const { remainingMs, expectedTarget, teamKey, team } = _names;
		this._dropped = new Set([remainingMs, expectedTarget, teamKey, team]);
	}

	/** The headers for one attempt, as names and values in turn. */
	headersFor(journey: Journey, targetId: string, now: Millis): string[] {
		const { request } = journey.exchange;
		const headers = passedHeaders(request.rawHeaders, this._dropped);
		const leftMs = Math.max(1, Math.floor(journey.deadline - now));
		headers.push(this._names.remainingMs, String(leftMs), this._names.expectedTarget, targetId);
		if (journey.team) {
			headers.push(this._names.team, journey.team.name);
		}
		if (request.headers['transfer-encoding'] !== undefined) {
			headers.push(...framing(journey.body.heldLength));
		}
		return headers;
	}
}

/** A body that came in chunks goes on with its length, where the whole of it is held. */
function framing(heldLength: number | undefined): string[] {
	return heldLength === undefined ? ['Transfer-Encoding', 'chunked'] : ['Content-Length', String(heldLength)];
}
