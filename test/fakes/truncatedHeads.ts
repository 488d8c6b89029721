/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Beginnings of responses that break off within their headers. */

const STATUS_LINE = 'HTTP/1.1 200 OK\r\n';
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n';
const CLOSING_INTERIM = 'HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n';

/** A beginning, and where it breaks off. */
export interface TruncatedHead {
	readonly place: string;
	readonly text: string;
}

/** Beginnings of a response with the given header of its request id. */
export function truncatedHeads(idHeader: string): TruncatedHead[] {
	const lines = `${STATUS_LINE}${idHeader}\r\n`;
	const heads = [
		{ place: 'in the status line', text: 'HTTP/1.1 20' },
		{ place: 'after the status line', text: STATUS_LINE },
		{ place: 'in a header name', text: `${lines}Content-Le` },
		{ place: 'in a length', text: `${lines}Content-Length: 1` },
		{ place: 'before the blank line', text: `${lines}Content-Length: 0\r\n` },
		{ place: 'before the blank line, without a length', text: `${lines}Connection: close\r\n` },
		{ place: 'in the blank line', text: `${lines}Content-Length: 0\r\n\r` }
	];
	const interims = [INTERIM, CLOSING_INTERIM].map((text, i) => ({ place: `after interim response ${i + 1}`, text }));
	const behind = heads.map(({ place, text }) => ({
		place: `${place}, after an interim response`,
		text: INTERIM + text
	}));
	return [...heads, ...interims, ...behind];
}
