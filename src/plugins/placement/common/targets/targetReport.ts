/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Decodes what a target reports about itself in the headers of a response. */

import type { IncomingMessage } from 'node:http';
import type { Millis } from '../../../../base/clock.js';
import type { IHeaderNames } from '../../../forwarding/common/headerNames.js';

const STATUS_OTHER_TARGET = 421;
const STATUS_TOO_MANY = 429;
const STATUS_UNAVAILABLE = 503;
/** Upper bound of a requested backoff. No target process is expected to run longer, and a restart ends the backoff. */
const MAX_BACKOFF_MS: Millis = 24 * 3600 * 1000;
/** Work times outside this range are taken for errors of the target, as no request could be placed by them. */
const MIN_WORK_TIME_FACTOR = 0.01;
const MAX_WORK_TIME_FACTOR = 100;
/** An unsigned decimal number with an optional fraction. */
const DECIMAL = /^\d+(\.\d+)?$/;
/** The preferred date format of HTTP (RFC 9110, section 5.6.7), such as `Thu, 03 Dec 2026 10:00:05 GMT`. */
const HTTP_DATE = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;

/** Load of a target, as reported by the target. */
export interface LoadReport {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How long work takes there at present, relative to its usual duration; undefined if the target does not report it. */
	readonly workTimeFactor: number | undefined;
}

/** A request of a target not to be sent further requests. */
export interface BackoffRequest {
	/** How long this instance must not send requests, counted from the response; 0 if no backoff is requested. */
	readonly backoffMs: Millis;
	/** Whether the target is shutting down and accepts no new requests until it has restarted. */
	readonly isLeaving: boolean;
}

/** What a target reports about itself in one response. */
export interface TargetReport extends BackoffRequest {
	/** Undefined if the target does not report its load. */
	readonly load: LoadReport | undefined;
	/** Whether a figure of the load that the target reports is left out as it cannot be right. */
	readonly hasInvalidLoad: boolean;
	/** Rate limit of the target for all instances together, in requests per second; undefined if it reports none. */
	readonly limitPerSecond: number | undefined;
	/** Whether the response echoes the id of the request. If not, other headers of the target may be missing as well. */
	readonly echoesRequestId: boolean;
	/** Whether the target did not execute the request. */
	readonly isNotRun: boolean;
}

/** Status and headers of a response. */
export type ResponseHead = Pick<IncomingMessage, 'statusCode' | 'headers' | 'headersDistinct'>;

/**
 * Parses `running,waiting,slots` and the optional `workTimePercent`; undefined for anything else. A work time out of range does
 * not invalidate the other figures.
 */
export function parseLoadReport(text: string | readonly string[] | undefined): LoadReport | undefined {
	const numbers = typeof text === 'string' ? text.split(',').map(Number) : [];
	const [running, waiting, slots, workTimePercent] = numbers;
	const isValid = [running, waiting, slots].every(number => Number.isFinite(number) && number! >= 0);
	if (numbers.length < 3 || numbers.length > 4 || !isValid) {
		return undefined;
	}
	return { running: running!, waiting: waiting!, slots: slots!, workTimeFactor: workTimeFactorOf(workTimePercent) };
}

function workTimeFactorOf(percent: number | undefined): number | undefined {
	const factor = (percent ?? Number.NaN) / 100;
	return factor >= MIN_WORK_TIME_FACTOR && factor <= MAX_WORK_TIME_FACTOR ? factor : undefined;
}

/**
 * Parses one `Retry-After` value: seconds or an HTTP date. Unlike in RFC 9110, seconds may have a fraction.
 * @param sentAt date of the response by the clock of its sender, in Unix milliseconds
 * @returns the requested backoff; 0 for invalid values and for dates in the past
 */
export function parseRetryAfter(text: string, sentAt: number): Millis {
	const trimmed = text.trim();
	const requestedMs = DECIMAL.test(trimmed) ? Number(trimmed) * 1000 : msUntilDate(trimmed, sentAt);
	return requestedMs > 0 ? Math.min(requestedMs, MAX_BACKOFF_MS) : 0;
}

/** Parses one rate limit value, in requests per second; undefined for invalid values. */
export function parseLimit(text: string): number | undefined {
	const trimmed = text.trim();
	const perSecond = DECIMAL.test(trimmed) ? Number(trimmed) : Number.NaN;
	return Number.isFinite(perSecond) ? perSecond : undefined;
}

function msUntilDate(text: string, sentAt: number): Millis {
	return HTTP_DATE.test(text) ? Date.parse(text) - sentAt : 0;
}

/**
 * Parses the status and headers of a target's response.
 * @param wallNow current Unix time in milliseconds, used as the date of a response without a valid `Date` header
 */
export function parseTargetReport(head: ResponseHead, names: IHeaderNames, wallNow: number): TargetReport {
	const { statusCode, headers } = head;
	const isRefusal = statusCode === STATUS_UNAVAILABLE || statusCode === STATUS_TOO_MANY;
	const load = parseLoadReport(headers[names.load]);
	return {
		load,
		hasInvalidLoad: isInvalidLoad(headers[names.load], load),
		backoffMs: isRefusal ? longestBackoffMs(head, names, wallNow) : 0,
		isLeaving: headers[names.leaving] === '1',
		limitPerSecond: lowestLimit(head, names),
		echoesRequestId: headers[names.requestId] !== undefined,
		isNotRun: statusCode === STATUS_OTHER_TARGET || headers[names.notRun] !== undefined
	};
}

function isInvalidLoad(text: string | readonly string[] | undefined, load: LoadReport | undefined): boolean {
	const hasWorkTime = typeof text === 'string' && text.split(',').length === 4;
	return text !== undefined && (load === undefined || (hasWorkTime && load.workTimeFactor === undefined));
}

/** The longest backoff, if the header occurs more than once. */
function longestBackoffMs({ headers, headersDistinct }: ResponseHead, names: IHeaderNames, wallNow: number): Millis {
	if (headers[names.retryAfter] === undefined) {
		return 0;
	}
	const dated = Date.parse(headers.date ?? '');
	const sentAt = Number.isNaN(dated) ? wallNow : dated;
	const backoffs = (headersDistinct[names.retryAfter] ?? []).map(text => parseRetryAfter(text, sentAt));
	return Math.max(0, ...backoffs);
}

/** The lowest rate limit, if the header occurs more than once. */
function lowestLimit({ headers, headersDistinct }: ResponseHead, names: IHeaderNames): number | undefined {
	if (headers[names.limit] === undefined) {
		return undefined;
	}
	const limits = (headersDistinct[names.limit] ?? []).map(parseLimit).filter(limit => limit !== undefined);
	return limits.length === 0 ? undefined : Math.min(...limits);
}
