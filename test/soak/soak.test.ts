/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A short soak with a fixed seed, and the rules against records in which each is broken. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { drawFaults, FaultKind } from './faultScript.js';
import { type CallerRecord, Observations, type RunRecord } from './observations.js';
import { checkRules } from './soakRules.js';
import { SoakRun } from './soakRun.js';

const CI_SEED = 11;
const CI_LENGTH_MS = 12000;
const TARGETS = new Set(['t-1']);

function order(id: string, status: number | undefined): CallerRecord {
	const answer = { status, stamp: 't-1', body: `${id}:x`, isWhole: true };
	return { id, method: 'POST', path: `/order/${id}`, entry: 'e', sentAt: 1, endedAt: 2, ...answer };
}

function run(id: string): RunRecord {
	const seen = {
		id,
		method: 'POST',
		path: `/order/${id}`,
		body: '',
		remainingMs: 1,
		expected: 't-1',
		headers: {},
		closedEarly: false
	};
	return { ...seen, target: 't-1' };
}

function rulesBroken(change: (seen: Observations) => RunRecord[]): string[] {
	const seen = new Observations();
	seen.finalVersion = 5;
	seen.published.push({ base: 1, version: 5, status: 200 });
	seen.requests.push(order('good', 200));
	const runs = [run('good'), ...change(seen)];
	return checkRules(seen, runs, TARGETS, 0).map(breach => breach.rule);
}

test('a seed always gives the same faults, and many seeds give every kind', () => {
	assert.deepEqual(drawFaults(3, 60000), drawFaults(3, 60000));
	const kinds = new Set(
		Array.from({ length: 20 }, (_, seed) => drawFaults(seed, 60000))
			.flat()
			.map(({ kind }) => kind)
	);
	assert.equal(kinds.size, Object.keys(FaultKind).length);
});

test('records without fault break nothing', () => {
	assert.deepEqual(
		rulesBroken(() => []),
		[]
	);
});

test('each broken promise is found', () => {
	assert.deepEqual(
		rulesBroken(() => [run('good')]),
		['TWICE']
	);
	assert.deepEqual(
		rulesBroken(() => [run('nobody')]),
		['UNASKED']
	);
	assert.ok(
		rulesBroken(seen => {
			seen.requests.push(order('refused', 503));
			return [run('refused')];
		}).includes('REFUSED')
	);
	assert.ok(
		rulesBroken(seen => {
			seen.requests.push({ ...order('mixed', 200), body: 'other:x' });
			return [];
		}).includes('MIXED')
	);
	assert.ok(
		rulesBroken(seen => {
			seen.requests.push(order('denied', 404));
			return [];
		}).includes('DENIED')
	);
	assert.deepEqual(
		rulesBroken(seen => {
			seen.published.push({ base: 1, version: 4, status: 200 });
			return [];
		}),
		['CONFIG']
	);
	assert.deepEqual(
		rulesBroken(seen => {
			seen.finalVersion = 4;
			return [];
		}),
		['CONFIG']
	);
	assert.ok(
		rulesBroken(seen => {
			seen.requests.push(order('lost-1', undefined), order('lost-2', undefined));
			return [];
		}).includes('RECOVER')
	);
});

test('a short soak breaks no rule', async () => {
	const soak = new SoakRun(CI_SEED, CI_LENGTH_MS);
	const result = await soak.play();
	assert.deepEqual(result.breaches, [], soak.logs().slice(-4000));
	assert.ok(result.faults.length >= 5);
});
