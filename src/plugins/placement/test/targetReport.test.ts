/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Parsing of the response headers in which targets report about themselves, and how backoff and rate limits take effect. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { IHeaderNames } from '../../forwarding/common/headerNames.js';
import { TargetBackoff } from '../common/targets/targetBackoff.js';
import { LimitChange, TargetLimit } from '../../limits/common/targetLimit.js';
import {
	type BackoffRequest,
	type ResponseHead,
	parseLimit,
	parseRetryAfter,
	parseTargetReport,
	type TargetReport
} from '../common/targets/targetReport.js';

const HEADER_NAMES = {
	requestId: 'id',
	notRun: 'not-run',
	load: 'load',
	retryAfter: 'retry-after',
	leaving: 'leaving',
	limit: 'limit'
} as IHeaderNames;
const WALL_NOW = Date.parse('Thu, 03 Dec 2026 10:00:00 GMT');
const DAY_MS = 24 * 3600 * 1000;

/** Parses a response with these headers, which may contain a name more than once. */
function reportOf(status: number, headers: readonly (readonly [string, string])[]): TargetReport {
	const headersDistinct: Record<string, string[]> = {};
	headers.forEach(([name, value]) => (headersDistinct[name] ??= []).push(value));
	const first = Object.fromEntries(Object.entries(headersDistinct).map(([name, values]) => [name, values[0]]));
	return parseTargetReport(
		{ statusCode: status, headers: first, headersDistinct } as ResponseHead,
		HEADER_NAMES,
		WALL_NOW
	);
}

test('a backoff is given in seconds, with or without a fraction, or as an HTTP date; anything else requests none', () => {
	const cases: readonly (readonly [string, number])[] = [
		['3', 3000],
		['0.25', 250],
		[' 2 ', 2000],
		['0', 0],
		['0.0', 0],
		['-1', 0],
		['+3', 0],
		['1e3', 0],
		['3s', 0],
		['soon', 0],
		['', 0],
		['NaN', 0],
		['Infinity', 0],
		['86400', DAY_MS],
		['999999999', DAY_MS],
		['9'.repeat(400), DAY_MS],
		['2030', 2030000],
		['in 2030', 0],
		['Tue, 01 Jan 2030', 0],
		['2030-01-01T00:00:00Z', 0],
		['Thu, 03 Dec 2026 10:00:05 GMT', 5000],
		['Thu, 03 Dec 2026 09:00:00 GMT', 0]
	];
	for (const [text, ms] of cases) {
		assert.equal(parseRetryAfter(text, WALL_NOW), ms, text);
	}
});

test('a backoff given as a date is relative to the Date header, if the response has one', () => {
	const retryAfter = ['retry-after', 'Thu, 03 Dec 2026 10:00:05 GMT'] as const;
	assert.equal(reportOf(503, [retryAfter]).backoffMs, 5000);
	assert.equal(reportOf(503, [retryAfter, ['date', 'Thu, 03 Dec 2026 10:00:02 GMT']]).backoffMs, 3000);
});

test('only 429 and 503 responses request a backoff, and the longest value applies', () => {
	for (const status of [503, 429]) {
		assert.equal(reportOf(status, [['retry-after', '3']]).backoffMs, 3000);
	}
	for (const status of [200, 301, 400, 421, 500, 502, 504]) {
		assert.equal(reportOf(status, [['retry-after', '3']]).backoffMs, 0);
	}
	const both = [
		['retry-after', '1'],
		['retry-after', '4'],
		['retry-after', 'x']
	] as const;
	assert.equal(reportOf(503, both).backoffMs, 4000);
});

test('any response may announce a shutdown, or state that the request was not executed', () => {
	assert.equal(reportOf(200, [['leaving', '1']]).isLeaving, true);
	assert.equal(reportOf(503, [['leaving', '0']]).isLeaving, false);
	assert.equal(reportOf(500, []).isLeaving, false);
	assert.equal(reportOf(503, [['not-run', '1']]).isNotRun, true);
	assert.equal(reportOf(421, []).isNotRun, true);
	assert.equal(reportOf(503, [['retry-after', '1']]).isNotRun, false);
});

test('for any header values, a backoff is between zero and one day, and load figures are finite and not negative', () => {
	const value = fc.oneof(fc.string(), fc.double().map(String), fc.date().map(String), fc.integer().map(String));
	const header = fc.tuple(fc.constantFrom('retry-after', 'date', 'load', 'leaving', 'not-run'), value);
	fc.assert(
		fc.property(fc.integer({ min: 100, max: 599 }), fc.array(header), (status, headers) => {
			const { backoffMs, load } = reportOf(status, headers);
			assert.ok(backoffMs >= 0 && backoffMs <= DAY_MS, `${backoffMs}`);
			assert.ok(!load || Object.values(load).every(number => Number.isFinite(number) && number >= 0));
		})
	);
});

test('a backoff lasts until the latest requested end, whatever is reported later; an announced shutdown is final', () => {
	const reports = fc.array(
		fc.record<BackoffRequest & { readonly afterMs: number }>({
			afterMs: fc.nat(4000),
			backoffMs: fc.nat(5000),
			isLeaving: fc.boolean()
		})
	);
	fc.assert(
		fc.property(reports, fc.nat(10000), (received, laterMs) => {
			const backoff = new TargetBackoff();
			let now = 0;
			let end = 0;
			for (const { afterMs, ...report } of received) {
				now += afterMs;
				backoff.apply(report, now);
				end = report.backoffMs > 0 ? Math.max(end, now + report.backoffMs) : end;
			}
			const isLeaving = received.some(report => report.isLeaving);
			assert.equal(backoff.isActive(now + laterMs), isLeaving || now + laterMs < end);
		})
	);
});

test('a rate limit is an unsigned decimal number; anything else is ignored', () => {
	const cases: readonly (readonly [string, number | undefined])[] = [
		['6.2', 6.2],
		[' 4 ', 4],
		['0.5', 0.5],
		['0', 0],
		['-1', undefined],
		['+3', undefined],
		['1e1', undefined],
		['6/s', undefined],
		['6,2', undefined],
		['.5', undefined],
		['5.', undefined],
		['0x10', undefined],
		['NaN', undefined],
		['Infinity', undefined],
		['', undefined],
		['9'.repeat(1000), undefined]
	];
	for (const [text, perSecond] of cases) {
		assert.equal(parseLimit(text), perSecond, text);
	}
});

test('the lowest rate limit in a response applies, and invalid values are ignored', () => {
	const report = reportOf(200, [
		['limit', '8'],
		['limit', '2.5'],
		['limit', 'many']
	]);
	assert.equal(report.limitPerSecond, 2.5);
	assert.equal(reportOf(503, [['limit', '3']]).limitPerSecond, 3);
	assert.equal(reportOf(200, []).limitPerSecond, undefined);
});

test('any header value yields either no rate limit or a finite number that is not negative', () => {
	fc.assert(
		fc.property(fc.oneof(fc.string(), fc.double().map(String), fc.integer().map(String)), text => {
			const perSecond = parseLimit(text);
			assert.ok(perSecond === undefined || (Number.isFinite(perSecond) && perSecond >= 0));
		})
	);
});

test('a lower rate limit applies at once, a higher one or none only if reported for a request sent after the lower one was known', () => {
	const limit = new TargetLimit();
	assert.equal(limit.applyReport({ perSecond: 8, requestSentAt: 0 }, 100), LimitChange.Named);
	assert.equal(limit.applyReport({ perSecond: 2, requestSentAt: 50 }, 110), LimitChange.Lowered);
	assert.equal(limit.applyReport({ perSecond: 8, requestSentAt: 105 }, 120), undefined);
	assert.equal(limit.applyReport({ perSecond: undefined, requestSentAt: 110 }, 121), undefined);
	assert.equal(limit.perSecond, 2);
	assert.equal(limit.applyReport({ perSecond: 4, requestSentAt: 111 }, 130), LimitChange.Raised);
	assert.equal(limit.applyReport({ perSecond: undefined, requestSentAt: 131 }, 140), LimitChange.Ended);
	assert.equal(limit.perSecond, undefined);
});
