/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The order of the requests of one connection, without sockets. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_SIDE_BY_SIDE, RequestPipeline } from '../common/requestPipeline.js';

const repeatable = (): boolean => true;
const once = (): boolean => false;

function createPipeline(...kinds: (() => boolean)[]): RequestPipeline<number> {
	const pipeline = new RequestPipeline<number>();
	kinds.forEach((kind, index) => pipeline.add(index, kind));
	return pipeline;
}

function takeAll(pipeline: RequestPipeline<number>): number[] {
	const taken: number[] = [];
	for (let next = pipeline.takeNext(); next !== undefined; next = pipeline.takeNext()) {
		taken.push(next);
	}
	return taken;
}

test('repeatable requests are taken up side by side up to the bound, behind which nothing is read', () => {
	const pipeline = createPipeline(...Array.from({ length: MAX_SIDE_BY_SIDE - 1 }, () => repeatable));
	assert.equal(takeAll(pipeline).length, MAX_SIDE_BY_SIDE - 1);
	assert.equal(pipeline.mayRead, true);
	pipeline.add(100, repeatable);
	pipeline.add(101, repeatable);
	assert.deepEqual([takeAll(pipeline), pipeline.mayRead], [[100], false]);
	pipeline.finish(0);
	assert.deepEqual([takeAll(pipeline), pipeline.mayRead], [[101], false]);
	pipeline.finish(1);
	assert.equal(pipeline.mayRead, true);
});

test('a request that may run only once waits for all before it, and holds up all behind it', () => {
	const pipeline = createPipeline(repeatable, repeatable, once, repeatable, once, once);
	assert.deepEqual([takeAll(pipeline), pipeline.mayRead], [[0, 1], false]);
	pipeline.finish(1);
	assert.deepEqual(takeAll(pipeline), []);
	pipeline.finish(0);
	assert.deepEqual(takeAll(pipeline), [2]);
	pipeline.finish(2);
	assert.deepEqual(takeAll(pipeline), [3]);
	pipeline.finish(3);
	assert.deepEqual(takeAll(pipeline), [4]);
	pipeline.finish(4);
	assert.deepEqual(takeAll(pipeline), [5]);
});

test('a single request evaluates no kind', () => {
	const pipeline = createPipeline(() => assert.fail('evaluated'));
	assert.deepEqual([takeAll(pipeline), pipeline.closesWith(0), pipeline.isDone], [[0], false, false]);
});

test('after the end of the taking up, only the last request that was taken up closes', () => {
	const pipeline = createPipeline(repeatable, repeatable, once);
	takeAll(pipeline);
	pipeline.end();
	assert.deepEqual(
		[0, 1, 2].map(item => pipeline.closesWith(item)),
		[false, true, false]
	);
	assert.deepEqual([takeAll(pipeline), pipeline.waitingCount, pipeline.mayRead], [[], 0, false]);
	pipeline.finish(1);
	assert.equal(pipeline.isDone, false);
	pipeline.finish(0);
	assert.equal(pipeline.isDone, true);
});

test('a sealed connection serves what was read, and closes with the last of it', () => {
	const pipeline = createPipeline(repeatable, once);
	takeAll(pipeline);
	pipeline.seal();
	assert.deepEqual([pipeline.mayRead, pipeline.closesWith(0), pipeline.isDone], [false, false, false]);
	pipeline.finish(0);
	assert.deepEqual([takeAll(pipeline), pipeline.closesWith(1)], [[1], true]);
	pipeline.finish(1);
	assert.equal(pipeline.isDone, true);
});

test('a response can end the connection only if no request behind it was taken up', () => {
	const pipeline = createPipeline(repeatable, repeatable, once);
	takeAll(pipeline);
	assert.deepEqual([pipeline.tryEndWith(0), pipeline.closesWith(1)], [false, false]);
	assert.deepEqual([pipeline.tryEndWith(1), pipeline.closesWith(1), pipeline.waitingCount], [true, true, 0]);
});
