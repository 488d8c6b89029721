/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Requests through an entry instance to targets that misbehave. */

import assert from 'node:assert/strict';
import { request as httpRequest } from 'node:http';
import { after, before, beforeEach, test } from 'node:test';
import { DiscoveredSystem, routeDocument, until } from './discoveredSystem.js';
import { type Misbehaviour, StandInTarget } from './standInTarget.js';

const ROUTES = [
	{ prefix: '/read/', kind: 'safe', service: 'reads' },
	{ prefix: '/order/', kind: 'unsafe', service: 'reads' },
	{ prefix: '/brief/', kind: 'unsafe', service: 'slow', timeout: '300ms' },
	{ prefix: '/slow/', kind: 'safe', service: 'slow' }
] as const;
const system = new DiscoveredSystem(3, 2);

/** What the next requests meet, whichever target gets them. */
const misbehaviours: Misbehaviour[] = [];

function createTarget(index: number, workMs: number, answerBytes = 2000): StandInTarget {
	const host = system.targetHost(index);
	return new StandInTarget({ id: `i-${index}`, host, port: 8080, slots: 4, workMs, answerBytes }, misbehaviours);
}

const reads = [createTarget(1, 5), createTarget(2, 5)];
const slow = createTarget(3, 1500, 200000);
const entry = system.entries[0]!;

/** How often a request ran, over all targets. */
function runs(id: string): number {
	return [...reads, slow].flatMap(target => target.ran).filter(seen => seen.id === id).length;
}

before(async () => {
	await Promise.all([...reads, slow].map(target => target.listen()));
	system.startAll();
	await system.publish(routeDocument(1, ROUTES), 0);
	await Promise.all(reads.map(target => system.heartbeat(target, 'reads')));
	await system.heartbeat(slow, 'slow');
	for (const [path, instance] of system.entries.flatMap(item => [
		['/read/1', item] as const,
		['/slow/1', item] as const
	])) {
		await until(`${path} is served`, async () =>
			(await system.request(instance, 'GET', path)).status === 200 ? true : undefined
		);
	}
});

beforeEach(async () => {
	misbehaviours.length = 0;
	await until('both targets are used again', async () =>
		(await system.request(entry, 'GET', '/read/1')).status === 200 ? true : undefined
	);
});

after(async () => {
	await system.stopAll();
	[...reads, slow].forEach(target => target.crash());
});

test('a request arrives unchanged, with what is left of its time and the target that it is for', async () => {
	const answer = await system.request(entry, 'POST', '/order/7?a=b', {
		id: 'whole',
		body: 'two units',
		remainingMs: 900
	});
	assert.equal(answer.status, 200);
	assert.match(String(answer.headers['server-stamp']), /^i-[12]$/);
	const seen = reads.flatMap(target => target.ran).find(item => item.id === 'whole')!;
	assert.deepEqual([seen.method, seen.path, seen.body], ['POST', '/order/7?a=b', 'two units']);
	assert.ok(seen.remainingMs > 0 && seen.remainingMs <= 900);
	assert.match(answer.body, /^whole:x{2000}$/);
});

test('a chunked body arrives whole', async () => {
	const answer = await system.request(entry, 'POST', '/order/7', {
		id: 'chunked',
		body: 'y'.repeat(300000),
		headers: { 'Transfer-Encoding': 'chunked' }
	});
	assert.equal(answer.status, 200);
	assert.equal(reads.flatMap(target => target.ran).find(item => item.id === 'chunked')!.body.length, 300000);
});

for (const how of ['reset', 'cut', 'other-id'] as const) {
	test(`'${how}' at a target: a repeatable request is answered by another, one that runs at most once is not sent again`, async () => {
		misbehaviours.push(how);
		const read = await system.request(entry, 'GET', '/read/1', { id: `read-${how}` });
		assert.deepEqual([read.status, read.body.slice(0, 5)], [200, 'read-']);
		await until('the target is used again', async () =>
			(await system.request(entry, 'GET', '/read/1')).status === 200 ? true : undefined
		);
		misbehaviours.push(how);
		const order = await system.request(entry, 'POST', '/order/1', { id: `order-${how}`, body: 'x' });
		assert.equal(order.status, 502);
		assert.equal(runs(`order-${how}`), 1);
	});
}

test('a failure that a target answers with is replaced for a repeatable request, and passed on for another', async () => {
	misbehaviours.push('error');
	const read = await system.request(entry, 'GET', '/read/1', { id: 'read-error' });
	assert.deepEqual([read.status, runs('read-error')], [200, 2]);
	misbehaviours.push('error', 'error');
	const failed = await system.request(entry, 'GET', '/read/1', { id: 'read-errors' });
	assert.deepEqual([failed.status, runs('read-errors')], [500, 2]);
	assert.match(String(failed.headers['server-stamp']), /^i-[12]$/);
	misbehaviours.push('error');
	const order = await system.request(entry, 'POST', '/order/1', { id: 'order-error', body: 'x' });
	assert.deepEqual([order.status, runs('order-error')], [500, 1]);
});

test('an answer without a length passes as one, since nobody can tell whether it is whole', async () => {
	misbehaviours.push('unframed');
	const answer = await system.request(entry, 'GET', '/read/1', { id: 'unframed' });
	assert.deepEqual([answer.status, answer.body.length], [200, 'unframed:'.length + 2000]);
	const framing = [answer.headers['content-length'], answer.headers['transfer-encoding'], answer.headers.connection];
	assert.deepEqual(framing, [undefined, undefined, 'close']);
});

test('what a target sends beyond its answer reaches nobody', async () => {
	misbehaviours.push('extra', 'extra', 'extra');
	for (let i = 0; i < 8; i++) {
		const answer = await system.request(entry, 'GET', `/read/${i}`, { id: `extra-${i}` });
		assert.deepEqual([answer.status, answer.body.slice(0, 8)], [200, `extra-${i}:`]);
	}
});

test('a target that is full turns a request away, and another one runs it once', async () => {
	misbehaviours.push('full');
	const answer = await system.request(entry, 'POST', '/order/1', { id: 'full', body: 'x' });
	assert.deepEqual([answer.status, runs('full')], [200, 1]);
});

test('a repeatable request that may have run is never answered as if it had not', async () => {
	const faults: readonly Misbehaviour[] = ['reset', 'full', 'full', 'full'];
	// A target that was full, or slow, a moment ago may be left alone: then nothing is sent, and the refusal is true.
	const answer = await until('a request reaches a target', async () => {
		misbehaviours.splice(0, misbehaviours.length, ...faults);
		const given = await system.request(entry, 'GET', '/read/1');
		return misbehaviours.length < faults.length ? given : undefined;
	});
	assert.equal(answer.status, 502, answer.body);
	assert.equal((JSON.parse(answer.body) as { verdict: string }).verdict, 'may-have-run');
});

test('a route that is not there is 404, and a route’s time ends a request with 504', async () => {
	assert.equal((await system.request(entry, 'GET', '/none/1')).status, 404);
	const startedAt = performance.now();
	const answer = await system.request(entry, 'POST', '/brief/1', { body: 'x' });
	assert.equal(answer.status, 504);
	assert.ok(performance.now() - startedAt < 1000);
});

test('a caller that leaves takes its request away from the target', async () => {
	const url = `${system.frontUrl(entry)}/slow/1`;
	const request = httpRequest(url, { headers: { Host: 'shop.example', 'Request-Id': 'left', 'Deadline-Ms': '3000' } });
	request.on('error', () => undefined);
	request.end();
	const seen = await until('it runs', async () => slow.ran.find(item => item.id === 'left'));
	request.destroy();
	await until('it is taken away', async () => (seen.closedEarly ? true : undefined), 1000);
});

test('an instance whose log nobody reads any more goes on serving', async () => {
	entry.child!.stdout!.destroy();
	for (let i = 0; i < 30; i++) {
		assert.equal((await system.request(entry, 'GET', `/read/${i}`)).status, 200);
	}
	assert.equal(entry.child!.exitCode, null);
});

test('a planned stop cuts nothing off, large answers included', async () => {
	const stopped = system.entries[1]!;
	const asked = [1, 2, 3].map(i => system.request(stopped, 'GET', `/slow/${i}`, { id: `stop-${i}` }));
	await until('all run', async () =>
		slow.ran.filter(seen => seen.id.startsWith('stop-')).length === 3 ? true : undefined
	);
	const ended = system.end(stopped, 'SIGTERM');
	await until('it is no longer ready', async () => ((await system.isReady(stopped)) ? undefined : true));
	for (const answer of await Promise.all(asked)) {
		assert.deepEqual([answer.status, answer.body.length], [200, 'stop-1:'.length + 200000]);
	}
	assert.equal(await ended, 0);
});
