/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Outcomes of sending a request to one target. */

import type { Readable } from 'node:stream';

const MIN_SERVER_ERROR_STATUS = 500;

/** Alternating header names and values, as received (see `IncomingMessage.rawHeaders`). */
export type RawHeaders = readonly string[];

/** A response of the target: either complete, or its beginning with the remaining body as a stream. */
export interface TargetResponse {
	readonly type: 'answer';
	readonly status: number;
	readonly rawHeaders: RawHeaders;
	/**
	 * Whether the end of the body is marked by closing the connection (RFC 9112, section 6.3). Such a response is forwarded
	 * in the same way: truncation by the target can't be detected, so adding a length or chunked framing would present it as complete.
	 */
	readonly endsWithConnection: boolean;
	/** The complete body, or its first bytes if the remaining body is streamed. */
	readonly body: Buffer;
	/** The remaining body; undefined if `body` is complete. Emits an error if the target closes the connection early. */
	readonly remainingBody?: Readable;
}

/** The request was certainly not executed: it was never written, or the target refused it. */
export interface NotRun {
	readonly type: 'not-run';
	/** Whether the request reached the target, which refused it. */
	readonly hasArrived: boolean;
	readonly cause: NotRunCause;
}

/** Why a target did not execute a request. */
export enum NotRunCause {
	/** No connection could be established. */
	NoConnection = 'no-connection',
	/** The target refused the request because all its slots are in use or its queue is too long. */
	Full = 'full',
	/** The target refused the request although it reported free slots. */
	Shed = 'shed',
	/** The address now belongs to another target. */
	OtherTarget = 'other-target',
	/** The target asked for backoff, or announced its shutdown, before the request was written to it. */
	BackingOff = 'at-rest',
	/** The rate limit of the target leaves no permit, or became known before the request was written to it. */
	RateLimited = 'at-limit',
	/** This instance's share of the connections that the target accepts is in use. */
	ConnectionsInUse = 'connections-in-use',
	/** Any other refusal by the target. */
	Refused = 'refused'
}

/** Why a request that may have been executed has no complete response of its own. */
export enum ResponseFailureCause {
	/** The connection was lost before a response was received. */
	ConnectionLost = 'connection-lost',
	/** The connection was lost before the response was complete. */
	ResponseTruncated = 'broken-off',
	/** The response belongs to another request. */
	ResponseMismatch = 'other-answer',
	/** The received data is not valid HTTP. */
	MalformedResponse = 'garbled'
}

/** The request may have been executed, but its response is missing, incomplete, malformed or that of another request. */
export interface ResponseFailure {
	readonly type: 'broken';
	readonly cause: ResponseFailureCause;
	/** Error reported by the connection, for the log. */
	readonly detail?: string;
}

/** The attempt was cancelled by this instance: the caller disconnected, or its deadline has passed. */
export interface Abandoned {
	readonly type: 'abandoned';
	/** Whether the request may have reached the target. */
	readonly mayHaveRun: boolean;
}

/** Outcome of one attempt. */
export type AttemptOutcome = TargetResponse | NotRun | ResponseFailure | Abandoned;

/** Whether the response has a 5xx status. */
export function isServerError(response: TargetResponse): boolean {
	return response.status >= MIN_SERVER_ERROR_STATUS;
}
