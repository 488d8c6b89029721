/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Error for request bodies that exceed their size limit. */

/** The body of a request exceeds `limitBytes`. */
export class BodyTooLargeError extends Error {
	constructor(readonly limitBytes: number) {
		super(`the body is larger than ${limitBytes} bytes`);
		this.name = 'BodyTooLargeError';
	}
}
