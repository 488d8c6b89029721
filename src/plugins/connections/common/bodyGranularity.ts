/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Tells bytes of a body that are costly to parse, as they are many small chunks, from others. */

/** Line ends in a part of a body from which it is taken for many small chunks; each chunk has two. */
export const MANY_LINE_ENDS = 32;
const LINE_END = '\r\n';

/** Whether a part of a body may hold many small chunks. */
export function mayHoldManyChunks(part: Buffer): boolean {
	let position = -LINE_END.length;
	for (let found = 0; found < MANY_LINE_ENDS; found++) {
		position = part.indexOf(LINE_END, position + LINE_END.length, 'latin1');
		if (position < 0) {
			return false;
		}
	}
	return true;
}
