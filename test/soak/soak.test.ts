/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Runs a short soak test with a fixed seed, and checks that each rule detects its violation. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { generateFaults, FaultKind } from './faultSchedule.js';
import { type CallerRecord, Observations, type ExecutionRecord } from './observations.js';
import { checkRules } from './soakRules.js';
import { SoakRun } from './soakRun.js';

const CI_SEED = 11;
const CI_LENGTH_MS = 12000;
const TARGET_IDS = new Set(['t-1']);

function createOrder(id: string, status: number | undefined): CallerRecord {
	const response = { status, serverStamp: 't-1', body: `${id}:x`, isComplete: true };
	return { id, method: 'POST', path: `/order/${id}`, entry: 'e', sentAt: 1, endedAt: 2, ...response };
}

function createExecution(id: string): ExecutionRecord {
	const request = {
		id,
		method: 'POST',
		path: `/order/${id}`,
		body: '',
		remainingMs: 1,
		expected: 't-1',
		headers: {},
		closedEarly: false
	};
	return { ...request, target: 't-1' };
}

function findBrokenRules(change: (observations: Observations) => ExecutionRecord[]): string[] {
	const observations = new Observations();
	observations.finalVersion = 5;
	observations.published.push({ base: 1, version: 5, status: 200 });
	observations.requests.push(createOrder('good', 200));
	const executions = [createExecution('good'), ...change(observations)];
	return checkRules(observations, executions, TARGET_IDS, 0).map(breach => breach.rule);
}

test('a seed always generates the same faults, and many seeds cover every kind', () => {
	assert.deepEqual(generateFaults(3, 60000), generateFaults(3, 60000));
	const kinds = new Set(
		Array.from({ length: 20 }, (_, seed) => generateFaults(seed, 60000))
			.flat()
			.map(({ kind }) => kind)
	);
	assert.equal(kinds.size, Object.keys(FaultKind).length);
});

test('valid records violate no rule', () => {
	assert.deepEqual(
		findBrokenRules(() => []),
		[]
	);
});

test('each rule violation is detected', () => {
	assert.deepEqual(
		findBrokenRules(() => [createExecution('good')]),
		['TWICE']
	);
	assert.deepEqual(
		findBrokenRules(() => [createExecution('nobody')]),
		['UNASKED']
	);
	assert.ok(
		findBrokenRules(observations => {
			observations.requests.push(createOrder('refused', 503));
			return [createExecution('refused')];
		}).includes('REFUSED')
	);
	assert.ok(
		findBrokenRules(observations => {
			observations.requests.push({ ...createOrder('mixed', 200), body: 'other:x' });
			return [];
		}).includes('MIXED')
	);
	assert.ok(
		findBrokenRules(observations => {
			observations.requests.push(createOrder('denied', 404));
			return [];
		}).includes('DENIED')
	);
	assert.deepEqual(
		findBrokenRules(observations => {
			observations.published.push({ base: 1, version: 4, status: 200 });
			return [];
		}),
		['CONFIG']
	);
	assert.deepEqual(
		findBrokenRules(observations => {
			observations.finalVersion = 4;
			return [];
		}),
		['CONFIG']
	);
	assert.ok(
		findBrokenRules(observations => {
			observations.requests.push(createOrder('lost-1', undefined), createOrder('lost-2', undefined));
			return [];
		}).includes('RECOVER')
	);
});

test('a short soak test violates no rule', async () => {
	const soak = new SoakRun(CI_SEED, CI_LENGTH_MS);
	const result = await soak.run();
	assert.deepEqual(result.breaches, [], soak.logs().slice(-4000));
	assert.ok(result.faults.length >= 5);
});
