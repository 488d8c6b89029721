/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Handling of hop-by-hop headers, which must not be forwarded (RFC 9110, section 7.6.1). */

import type { RawHeaders } from './attempt.js';

const HOP_BY_HOP_HEADERS = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'proxy-authenticate',
	'proxy-authorization',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade'
]);

/** Calls `visit` for each header with its name in lower case, its name as received, and its value. */
export function forEachHeader(raw: RawHeaders, visit: (lower: string, name: string, value: string) => void): void {
	for (let i = 0; i + 1 < raw.length; i += 2) {
		visit(raw[i]!.toLowerCase(), raw[i]!, raw[i + 1]!);
	}
}

/** Header names listed in the `Connection` headers, in lower case. */
function connectionOptions(raw: RawHeaders): Set<string> {
	const names = new Set<string>();
	forEachHeader(raw, (lower, _name, value) => {
		if (lower === 'connection') {
			value.split(',').forEach(part => names.add(part.trim().toLowerCase()));
		}
	});
	// A message that lost its length would end with its connection, or be given chunks.
	names.delete('content-length');
	return names;
}

/**
 * The headers to forward, as alternating names and values.
 * @param dropped names in lower case of further headers to remove
 */
export function endToEndHeaders(raw: RawHeaders, dropped: ReadonlySet<string>): string[] {
	const connectionNames = connectionOptions(raw);
	const forwarded: string[] = [];
	forEachHeader(raw, (lower, name, value) => {
		if (!HOP_BY_HOP_HEADERS.has(lower) && !connectionNames.has(lower) && !dropped.has(lower)) {
			forwarded.push(name, value);
		}
	});
	return forwarded;
}

/** The value of the first cookie with the given name; undefined if there is none. */
export function cookieValue(raw: RawHeaders, cookie: string): string | undefined {
	let found: string | undefined;
	forEachHeader(raw, (lower, _name, value) => {
		if (lower !== 'cookie' || found !== undefined) {
			return;
		}
		for (const part of value.split(';')) {
			const equals = part.indexOf('=');
			if (equals > 0 && part.slice(0, equals).trim() === cookie) {
				found = part.slice(equals + 1).trim();
			}
		}
	});
	return found;
}
