/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What targets say of themselves in the heads of their answers: each value that may stand there, and what it means. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { IHeaderNames } from '../common/headerNames.js';
import { TargetRest } from '../common/targets/targetRest.js';
import { LimitChange, TargetLimit } from '../../limits/common/targetLimit.js';
import {
	type AnswerHead,
	parseLimit,
	parseRest,
	readTargetWord,
	type TargetWord
} from '../common/targets/targetWord.js';

const NAMES = {
	requestId: 'id',
	notRun: 'not-run',
	load: 'load',
	rest: 'retry-after',
	leaving: 'leaving',
	limit: 'limit'
} as IHeaderNames;
const WALL_NOW = Date.parse('Thu, 03 Dec 2026 10:00:00 GMT');
const DAY_MS = 24 * 3600 * 1000;

/** The word of an answer with these headers; some of them may stand there more than once. */
function wordOf(status: number, headers: readonly (readonly [string, string])[]): TargetWord {
	const headersDistinct: Record<string, string[]> = {};
	headers.forEach(([name, value]) => (headersDistinct[name] ??= []).push(value));
	const first = Object.fromEntries(Object.entries(headersDistinct).map(([name, values]) => [name, values[0]]));
	return readTargetWord({ statusCode: status, headers: first, headersDistinct } as AnswerHead, NAMES, WALL_NOW);
}

test('rest is asked for in seconds, with or without a fraction, or by a date; what is neither asks for none', () => {
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
		assert.equal(parseRest(text, WALL_NOW), ms, text);
	}
});

test('a date counts from the date of its answer, where that one is there', () => {
	const asked = ['retry-after', 'Thu, 03 Dec 2026 10:00:05 GMT'] as const;
	assert.equal(wordOf(503, [asked]).restMs, 5000);
	assert.equal(wordOf(503, [asked, ['date', 'Thu, 03 Dec 2026 10:00:02 GMT']]).restMs, 3000);
});

test('only an answer that turns the request away asks for rest, and of two values the longer one holds', () => {
	for (const status of [503, 429]) {
		assert.equal(wordOf(status, [['retry-after', '3']]).restMs, 3000);
	}
	for (const status of [200, 301, 400, 421, 500, 502, 504]) {
		assert.equal(wordOf(status, [['retry-after', '3']]).restMs, 0);
	}
	const both = [
		['retry-after', '1'],
		['retry-after', '4'],
		['retry-after', 'x']
	] as const;
	assert.equal(wordOf(503, both).restMs, 4000);
});

test('any answer may say that its target leaves, and whether the request ran', () => {
	assert.equal(wordOf(200, [['leaving', '1']]).isLeaving, true);
	assert.equal(wordOf(503, [['leaving', '0']]).isLeaving, false);
	assert.equal(wordOf(500, []).isLeaving, false);
	assert.equal(wordOf(503, [['not-run', '1']]).isNotRun, true);
	assert.equal(wordOf(421, []).isNotRun, true);
	assert.equal(wordOf(503, [['retry-after', '1']]).isNotRun, false);
});

test('whatever stands in the headers, a word is finite, not negative, and no longer than a day', () => {
	const value = fc.oneof(fc.string(), fc.double().map(String), fc.date().map(String), fc.integer().map(String));
	const header = fc.tuple(fc.constantFrom('retry-after', 'date', 'load', 'leaving', 'not-run'), value);
	fc.assert(
		fc.property(fc.integer({ min: 100, max: 599 }), fc.array(header), (status, headers) => {
			const { restMs, load } = wordOf(status, headers);
			assert.ok(restMs >= 0 && restMs <= DAY_MS, `${restMs}`);
			assert.ok(!load || Object.values(load).every(number => Number.isFinite(number) && number >= 0));
		})
	);
});

test('what a target asked for holds until the latest of its ends, whatever it says afterwards; that it leaves holds for good', () => {
	const words = fc.array(fc.record({ afterMs: fc.nat(4000), restMs: fc.nat(5000), isLeaving: fc.boolean() }));
	fc.assert(
		fc.property(words, fc.nat(10000), (said, laterMs) => {
			const rest = new TargetRest();
			let now = 0;
			let end = 0;
			for (const { afterMs, ...word } of said) {
				now += afterMs;
				rest.hear(word, now);
				end = word.restMs > 0 ? Math.max(end, now + word.restMs) : end;
			}
			const isLeaving = said.some(word => word.isLeaving);
			assert.equal(rest.isAsked(now + laterMs), isLeaving || now + laterMs < end);
		})
	);
});

test('a limit is a decimal number; nothing else limits a target', () => {
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

test('of two limits in one answer the lower one holds, and one that is none takes nothing from the other', () => {
	const word = wordOf(200, [
		['limit', '8'],
		['limit', '2.5'],
		['limit', 'many']
	]);
	assert.equal(word.limitPerSecond, 2.5);
	assert.equal(wordOf(503, [['limit', '3']]).limitPerSecond, 3);
	assert.equal(wordOf(200, []).limitPerSecond, undefined);
});

test('whatever stands there for a limit names none or a number that is not negative', () => {
	fc.assert(
		fc.property(fc.oneof(fc.string(), fc.double().map(String), fc.integer().map(String)), text => {
			const perSecond = parseLimit(text);
			assert.ok(perSecond === undefined || (Number.isFinite(perSecond) && perSecond >= 0));
		})
	);
});

test('a lower limit holds at once, a higher one or none only by an answer to what was asked after the lower one was known', () => {
	const limit = new TargetLimit();
	assert.equal(limit.hear({ perSecond: 8, askedAt: 0 }, 100), LimitChange.Named);
	assert.equal(limit.hear({ perSecond: 2, askedAt: 50 }, 110), LimitChange.Lowered);
	assert.equal(limit.hear({ perSecond: 8, askedAt: 105 }, 120), undefined);
	assert.equal(limit.hear({ perSecond: undefined, askedAt: 110 }, 121), undefined);
	assert.equal(limit.perSecond, 2);
	assert.equal(limit.hear({ perSecond: 4, askedAt: 111 }, 130), LimitChange.Raised);
	assert.equal(limit.hear({ perSecond: undefined, askedAt: 131 }, 140), LimitChange.Ended);
	assert.equal(limit.perSecond, undefined);
});
