/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Drawn sequences of pipelined requests, answers, stops and callers that leave, against the real listener: each request that was
 * taken up gets exactly one response in its place, unless the caller left.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { RawCaller, TestListener, until, delay } from './testListener.js';

const RUNS = 60;

type Ending = 'none' | 'stop' | 'leave' | 'close-header' | 'malformed';

interface Plan {
	/** The requests: whether each may run only once, how long it runs, and the size of its response. */
	readonly requests: readonly { readonly isOnce: boolean; readonly workMs: number; readonly bytes: number }[];
	readonly ending: Ending;
	/** When the ending occurs, for a stop or a caller that leaves. */
	readonly endingMs: number;
	/** Bytes of requests that are written at a time. */
	readonly writeBytes: number;
	/** Whether the caller pauses reading at first. */
	readonly readsLate: boolean;
}

const plans: fc.Arbitrary<Plan> = fc.record({
	requests: fc.array(
		fc.record({
			isOnce: fc.boolean(),
			workMs: fc.integer({ min: 0, max: 12 }),
			bytes: fc.constantFrom(0, 10, 3000, 70000)
		}),
		{ minLength: 1, maxLength: 40 }
	),
	ending: fc.constantFrom<Ending>('none', 'stop', 'leave', 'close-header', 'malformed'),
	endingMs: fc.integer({ min: 0, max: 40 }),
	writeBytes: fc.constantFrom(7, 200, 100000),
	readsLate: fc.boolean()
});

function pathsOf({ requests }: Plan): string[] {
	return requests.map(({ isOnce }, index) => `/${isOnce ? 'once' : 'any'}-${index}`);
}

function bytesOf(plan: Plan): string {
	const paths = pathsOf(plan);
	const lines = paths.map((path, index) => {
		const isLast = index === paths.length - 1;
		const closes = isLast && plan.ending === 'close-header' ? 'Connection: close\r\n' : '';
		return `GET ${path} HTTP/1.1\r\nHost: h\r\n${closes}\r\n`;
	});
	return lines.join('') + (plan.ending === 'malformed' ? 'MALFORMED\r\n\r\n' : '');
}

async function write(caller: RawCaller, bytes: string, writeBytes: number): Promise<void> {
	for (let offset = 0; offset < bytes.length && !caller.socket.destroyed; offset += writeBytes) {
		caller.socket.write(bytes.slice(offset, offset + writeBytes));
		if (offset % 1400 === 0) {
			await new Promise(setImmediate);
		}
	}
}

async function play(plan: Plan): Promise<void> {
	const listener = new TestListener();
	await listener.listen();
	const caller = new RawCaller(listener.connections.port, !plan.readsLate);
	try {
		await playWith(plan, listener, caller);
	} finally {
		caller.socket.destroy();
		listener.connections.dispose();
	}
}

async function playWith(plan: Plan, listener: TestListener, caller: RawCaller): Promise<void> {
	const running = new Set<string>();
	listener.onTaken = request => {
		const path = request.request.url!;
		const { isOnce, workMs, bytes } = plan.requests[Number(path.split('-')[1])]!;
		assert.ok(!isOnce || running.size === 0, `${path} was taken up beside others`);
		running.add(path);
		setTimeout(() => listener.answer(request, bytes), workMs);
	};
	listener.onClosed = path => running.delete(path);
	const written = write(caller, bytesOf(plan), plan.writeBytes);
	if (plan.ending === 'stop' || plan.ending === 'leave') {
		await delay(plan.endingMs);
		if (plan.ending === 'stop') {
			listener.connections.endTakingUp();
		} else {
			caller.socket.destroy();
		}
	}
	if (plan.readsLate) {
		await delay(20);
		caller.startReading();
	}
	await written;
	if (plan.ending === 'none') {
		await until('all are answered', () => caller.responses.length === plan.requests.length);
	} else {
		await until('the connection is closed', () => caller.isClosed && listener.connections.inFlight === 0);
	}
	check(plan, listener, caller);
}

function check(plan: Plan, listener: TestListener, caller: RawCaller): void {
	const paths = pathsOf(plan);
	assert.deepEqual(listener.paths, paths.slice(0, listener.paths.length), 'each was taken up once and in order');
	const statuses = caller.responses.map(({ status }) => status);
	const bodies = caller.bodies.slice(0, statuses.filter(status => status === 200).length);
	if (plan.ending === 'leave') {
		assert.deepEqual(bodies, listener.paths.slice(0, bodies.length));
		return;
	}
	assert.deepEqual(bodies, listener.paths, 'each request that was taken up has its response in its place');
	assert.deepEqual(statuses.slice(bodies.length), plan.ending === 'malformed' ? [400] : []);
	if (plan.ending !== 'stop') {
		assert.deepEqual(listener.paths, paths);
	}
	const closing = caller.responses.findIndex(({ closes }) => closes);
	assert.ok(closing < 0 || closing === statuses.length - 1, 'only the last response announces the close');
}

test('each request that is taken up gets exactly one response in its place', async () => {
	await fc.assert(fc.asyncProperty(plans, play), { numRuns: RUNS, endOnFailure: true });
});
