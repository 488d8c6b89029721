/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Names of the HTTP headers exchanged with callers and targets. They are provided by the platform integration. */

import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';

/** Header names; those that are looked up in responses must be in lower case. */
export interface IHeaderNames {
	/** Unique id of one request of a caller; targets echo it in the response. */
	readonly requestId: string;
	/** Remaining time until the sender's deadline, in milliseconds. */
	readonly remainingMs: string;
	/** Name of the cookie that holds the key of the object that a request accesses. */
	readonly objectCookie: string;
	/** API key that identifies the caller's team; it is not forwarded to targets. */
	readonly teamKey: string;
	/** Team on whose behalf a request is forwarded to a target; a value sent by the caller is dropped. */
	readonly team: string;
	/** Id of the target that a forwarded request is addressed to. */
	readonly expectedTarget: string;
	/** Response header: present if the target did not execute the request. */
	readonly notRun: string;
	/** Response header: number of running requests, waiting requests and slots, separated by commas. */
	readonly load: string;
	/** Header of a 429 or 503 response: seconds, or an HTTP date, until which the sender must not send further requests. */
	readonly retryAfter: string;
	/** Response header: `1` if the target is shutting down. */
	readonly leaving: string;
	/** Response header: rate limit of the target for all instances together, in requests per second; a decimal number. */
	readonly limit: string;
	/** Response header: identifies the target that produced the response. */
	readonly stamp: string;
}

/** Service identifier of the header names. */
export const IHeaderNames = createServiceIdentifier<IHeaderNames>('headerNames');
