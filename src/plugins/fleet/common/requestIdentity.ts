/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Identifies a request across retries by its caller. */

/** Identity of a request; the same for each retry, at any entry instance. */
export interface RequestIdentity {
	/** SHA-256 of caller, method, host, path and body, in base64url. */
	readonly digest: string;
	/** Hash of host and path, a cheap pre-check: the digest is computed only for requests whose hash matches. */
	readonly pathHash: number;
}
