/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** All that a target says of itself in the head of an answer, whatever becomes of the answer: decoded here and nowhere else. */

import type { IncomingMessage } from 'node:http';
import type { Millis } from '../../../../base/clock.js';
import type { IHeaderNames } from '../headerNames.js';

const STATUS_OTHER_TARGET = 421;
const STATUS_TOO_MANY = 429;
const STATUS_UNAVAILABLE = 503;
/** A longer rest counts as this one: it outlasts any life of a target, and a target that is well starts a new one. */
const MOST_REST_MS: Millis = 24 * 3600 * 1000;
/** A number with or without a fraction. */
const DECIMAL = /^\d+(\.\d+)?$/;
/** The one form of dates that HTTP writes, such as `Thu, 03 Dec 2026 10:00:05 GMT`. */
const HTTP_DATE = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;

/** Load as a target told it. */
export interface LoadWord {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
}

/** What a target says of itself with one answer. */
export interface TargetWord {
	/** Undefined where it does not say. */
	readonly load: LoadWord | undefined;
	/** For how long it wants nothing more from this instance, counted from the answer; 0 where it does not ask for rest. */
	readonly restMs: Millis;
	/** It ends soon, and wants no new work in this life. */
	readonly isLeaving: boolean;
	/** Requests a second that it takes from all instances together; undefined where it names no limit. */
	readonly limitPerSecond: number | undefined;
	/** Whether the answer shows the id of its request; one that does not may have lost what else its target says. */
	readonly hasEcho: boolean;
	/** It did not run the request. */
	readonly isNotRun: boolean;
}

/** The head of an answer. */
export type AnswerHead = Pick<IncomingMessage, 'statusCode' | 'headers' | 'headersDistinct'>;

/** Reads `running,waiting,slots`; undefined for anything else. */
export function parseLoadWord(text: string | readonly string[] | undefined): LoadWord | undefined {
	const numbers = typeof text === 'string' ? text.split(',').map(Number) : undefined;
	if (numbers?.length !== 3 || numbers.some(number => !Number.isFinite(number) || number < 0)) {
		return undefined;
	}
	return { running: numbers[0]!, waiting: numbers[1]!, slots: numbers[2]! };
}

/**
 * Reads one value of a header that asks for rest: seconds, or a date. What is neither, or lies in the past, asks for none.
 * @param sentAt the date of the answer by the clock that wrote it, as Unix milliseconds
 */
export function parseRest(text: string, sentAt: number): Millis {
	const trimmed = text.trim();
	const wanted = DECIMAL.test(trimmed) ? Number(trimmed) * 1000 : untilDate(trimmed, sentAt);
	return wanted > 0 ? Math.min(wanted, MOST_REST_MS) : 0;
}

/** Reads one value of a header that names a limit, in requests a second; undefined for what names none. */
export function parseLimit(text: string): number | undefined {
	const trimmed = text.trim();
	const perSecond = DECIMAL.test(trimmed) ? Number(trimmed) : Number.NaN;
	return Number.isFinite(perSecond) ? perSecond : undefined;
}

function untilDate(text: string, sentAt: number): Millis {
	return HTTP_DATE.test(text) ? Date.parse(text) - sentAt : 0;
}

/**
 * Reads the head of a target's answer.
 * @param wallNow the time of day, as Unix milliseconds, for a date in an answer that does not say when it was sent
 */
export function readTargetWord(head: AnswerHead, names: IHeaderNames, wallNow: number): TargetWord {
	const { statusCode: status, headers } = head;
	const isTurnedAway = status === STATUS_UNAVAILABLE || status === STATUS_TOO_MANY;
	return {
		load: parseLoadWord(headers[names.load]),
		restMs: isTurnedAway ? longestRest(head, names, wallNow) : 0,
		isLeaving: headers[names.leaving] === '1',
		limitPerSecond: lowestLimit(head, names),
		hasEcho: headers[names.requestId] !== undefined,
		isNotRun: status === STATUS_OTHER_TARGET || headers[names.notRun] !== undefined
	};
}

/** Each value holds by itself, so the longest one does. */
function longestRest({ headers, headersDistinct }: AnswerHead, names: IHeaderNames, wallNow: number): Millis {
	if (headers[names.rest] === undefined) {
		return 0;
	}
	const dated = Date.parse(headers.date ?? '');
	const sentAt = Number.isNaN(dated) ? wallNow : dated;
	const rests = (headersDistinct[names.rest] ?? []).map(text => parseRest(text, sentAt));
	return Math.max(0, ...rests);
}

/** Each value holds by itself, so the lowest one does. */
function lowestLimit({ headers, headersDistinct }: AnswerHead, names: IHeaderNames): number | undefined {
	if (headers[names.limit] === undefined) {
		return undefined;
	}
	const limits = (headersDistinct[names.limit] ?? []).map(parseLimit).filter(limit => limit !== undefined);
	return limits.length === 0 ? undefined : Math.min(...limits);
}
