/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Headers that concern one connection only and are not passed on (RFC 9110, section 7.6.1). */

import type { RawHeaders } from './attempt.js';

const HOP_HEADERS = new Set([
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

/** Calls back for each header, as name in lower case, name as written, and value. */
export function forEachHeader(raw: RawHeaders, visit: (lower: string, name: string, value: string) => void): void {
	for (let i = 0; i + 1 < raw.length; i += 2) {
		visit(raw[i]!.toLowerCase(), raw[i]!, raw[i + 1]!);
	}
}

/** Names listed in the `Connection` headers. */
function namedByConnection(raw: RawHeaders): Set<string> {
	const named = new Set<string>();
	forEachHeader(raw, (lower, _name, value) => {
		if (lower === 'connection') {
			value.split(',').forEach(part => named.add(part.trim().toLowerCase()));
		}
	});
	return named;
}

/**
 * The headers to pass on, name and value in turn.
 * @param dropped names in lower case that are left out too
 */
export function passedHeaders(raw: RawHeaders, dropped: ReadonlySet<string>): string[] {
	const named = namedByConnection(raw);
	const passed: string[] = [];
	forEachHeader(raw, (lower, name, value) => {
		if (!HOP_HEADERS.has(lower) && !named.has(lower) && !dropped.has(lower)) {
			passed.push(name, value);
		}
	});
	return passed;
}

/** The value of one cookie. */
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
