/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The error of a body beyond its limit. */

/** A request whose body is larger than allowed. */
export class BodyTooLargeError extends Error {
	constructor(readonly limitBytes: number) {
		super(`the body is larger than ${limitBytes} bytes`);
		this.name = 'BodyTooLargeError';
	}
}
