/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * What goes along with a request that one entry instance relays to another: it is sent as its caller sent it, below a path prefix at
 * the peer address, with these headers added.
 */

/** Prefix of the path of a relayed request. */
export const RELAY_PATH_PREFIX = '/relay';
/**
 * Fleet revision. In a request, the least one that it may be handled by, so that the caller's instance never goes back to an
 * earlier one; in a response, the one that it was handled by.
 */
export const RELAY_REVISION_HEADER = 'shelffield-relay-revision';
/** Present if the sender has counted the request as a first attempt, which allows for retries; it must be counted only once. */
export const RELAY_COUNTED_HEADER = 'shelffield-relay-counted';
/** Number of attempts that the sender may have written to targets. */
export const RELAY_WRITTEN_HEADER = 'shelffield-relay-written';
/** Present if the sender has taken a retry for the next attempt. */
export const RELAY_RETRY_HEADER = 'shelffield-relay-retry';
/**
 * Present in a response that its target sent without a length. It is relayed in chunks, which state its end, and goes to the caller as its
 * target sent it.
 */
export const RELAY_UNFRAMED_HEADER = 'shelffield-relay-unframed';
