/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The names of the headers that callers, this system and targets use; whoever adapts the product provides them. */

import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';

/** Header names; those that are looked up in answers are in lower case. */
export interface IHeaderNames {
	/** Identifies one try of a caller; targets echo it. */
	readonly requestId: string;
	/** Milliseconds that the caller, or this system, will wait. */
	readonly remainingMs: string;
	/** Cookie with the object that a request is about. */
	readonly objectCookie: string;
	/** The key by which a caller shows for which team it asks; it stays here. */
	readonly teamKey: string;
	/** The team on whose behalf a request is sent to a target; what the caller wrote there does not count. */
	readonly team: string;
	/** The target that a request is meant for. */
	readonly expectedTarget: string;
	/** In an answer: the target did not run the request. */
	readonly notRun: string;
	/** In an answer: requests running, requests waiting and slots, parted by commas. */
	readonly load: string;
	/** In an answer that turns the request away: seconds, or a date, until which the target wants nothing more from the asker. */
	readonly rest: string;
	/** In any answer of a target that ends soon: `1`. */
	readonly leaving: string;
	/** In any answer: the requests a second that the target takes from all instances together; a decimal number. */
	readonly limit: string;
	/** In an answer: proof of which target gave it. */
	readonly stamp: string;
}

/** Identifier of the header names. */
export const IHeaderNames = createServiceIdentifier<IHeaderNames>('headerNames');
