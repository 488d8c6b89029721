/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Parses and validates request headers of callers. */

import type { IncomingHttpHeaders } from 'node:http';
import { RefusalReason, RequestError } from '../../../base/verdict.js';

const MAX_DEADLINE_MS = 3600000;
const MAX_ORDER_KEY_LENGTH = 200;
const ORDER_KEY_PATTERN = /^(\d{4}-\d{2}-\d{2})-[\x21-\x7e]+$/;
const GROUP_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$/;
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS']);
/** Headers that are not forwarded to a target: hop-by-hop headers, and headers that the forwarded request sets itself. */
const UNFORWARDED_HEADERS = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
	'content-length',
	'host'
]);
const SHELFFIELD_PREFIX = 'shelffield-';

/** Options of a request that callers pass in headers. */
export interface CallerHeaders {
	readonly group: string;
	/** Time allowed for the response from arrival of the request, in milliseconds; undefined when the caller set none. */
	readonly deadlineMs?: number;
	/** Idempotency key of a request that must run at most once, `YYYY-MM-DD-` and a text chosen by the caller. */
	readonly orderKey?: string;
}

function invalidHeaderError(name: string, allowed: string): RequestError {
	return new RequestError(
		'not-run',
		RefusalReason.BadRequest,
		400,
		`header ${name} is missing or invalid; allowed: ${allowed}`
	);
}

function readSingleValue(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name.toLowerCase()];
	if (Array.isArray(value)) {
		throw invalidHeaderError(name, 'one value');
	}
	return value;
}

/**
 * Parses the `Shelffield-*` headers of a request.
 * @throws RequestError that names the invalid header
 */
export function readCallerHeaders(headers: IncomingHttpHeaders): CallerHeaders {
	const group = readSingleValue(headers, 'Shelffield-Group');
	if (group === undefined || !GROUP_PATTERN.test(group)) {
		throw invalidHeaderError(
			'Shelffield-Group',
			'the name of a group: letters, digits, - and _, at most 63 characters'
		);
	}
	return { group, deadlineMs: readDeadline(headers), orderKey: readOrderKey(headers) };
}

function readDeadline(headers: IncomingHttpHeaders): number | undefined {
	const text = readSingleValue(headers, 'Shelffield-Deadline-Ms');
	if (text === undefined) {
		return undefined;
	}
	const value = Number(text);
	if (!/^\d+$/.test(text) || value < 1 || value > MAX_DEADLINE_MS) {
		throw invalidHeaderError('Shelffield-Deadline-Ms', `a whole number of milliseconds from 1 to ${MAX_DEADLINE_MS}`);
	}
	return value;
}

function readOrderKey(headers: IncomingHttpHeaders): string | undefined {
	const key = readSingleValue(headers, 'Shelffield-Order-Key');
	if (key === undefined) {
		return undefined;
	}
	const date = ORDER_KEY_PATTERN.exec(key)?.[1];
	if (!date || key.length > MAX_ORDER_KEY_LENGTH || !isCalendarDate(date)) {
		throw invalidHeaderError(
			'Shelffield-Order-Key',
			`YYYY-MM-DD- followed by printable ASCII characters without spaces, at most ${MAX_ORDER_KEY_LENGTH} characters in total`
		);
	}
	return key;
}

function isCalendarDate(date: string): boolean {
	const parsed = new Date(`${date}T00:00:00Z`);
	return !Number.isNaN(parsed.getTime()) && parsed.toISOString().startsWith(date);
}

/** Whether HTTP defines the method as idempotent, so that the request may be retried. */
export function isIdempotentMethod(method: string): boolean {
	return IDEMPOTENT_METHODS.has(method);
}

/** Returns the headers to forward to a target. */
export function headersForTarget(headers: IncomingHttpHeaders): IncomingHttpHeaders {
	const forwarded: IncomingHttpHeaders = {};
	for (const name in headers) {
		if (!UNFORWARDED_HEADERS.has(name) && !name.startsWith(SHELFFIELD_PREFIX)) {
			forwarded[name] = headers[name];
		}
	}
	return forwarded;
}
