/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Error for request bodies that give up their memory for others. */

/** The body of a request was not received in whole, as its memory was needed for others. */
export class BodyEvictedError extends Error {
	constructor() {
		super('the memory for bodies is needed for others that arrive faster');
		this.name = 'BodyEvictedError';
	}
}
