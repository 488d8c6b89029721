/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Requests whose last byte comes late in the grace period of a planned stop. */

import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { after, before, test } from 'node:test';
import { PlatformTestSystem, createConfigDocument, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const GRACE_MS = 6000;
const REMAINING_MS = 4000;
/** Times after the signal. */
const LATE_HEAD_MS = 2500;
const LAST_BYTES_MS = [3500, 3750, 4000, 4250, 4500];
const SMALL_BODY_BYTES = 1000;
/** More than is buffered before a request is passed on. */
const STREAMED_BODY_BYTES = 100000;
/** A request that takes longer than others of its route, to beyond the grace period. */
const OVERDUE_BODY = 'overdue';
const OVERDUE_WORK_MS = 3900;
/** Time that a request of each route takes at its target. */
const WORK_MS: Readonly<Record<string, number>> = { short: 1500, long: 2800, unmeasured: 1500 };
const ROUTES = Object.keys(WORK_MS).map(
	name => ({ prefix: `/${name}/`, kind: 'unsafe', service: 'orders', timeout: '4000ms' }) as const
);
const system = new PlatformTestSystem(3, 1);
const entry = system.entries[0]!;
const target = new TestTarget({
	id: 'i-1',
	host: system.targetHost(1),
	port: 8080,
	slots: 200,
	workMs: 0,
	workMsOf: ({ path, body }) => (body === OVERDUE_BODY ? OVERDUE_WORK_MS : WORK_MS[path.split('/')[1]!]),
	paddingBytes: 2000
});

/** A request and what its caller has received when the connection is closed. */
interface SentRequest {
	readonly id: string;
	readonly text: string;
}

before(async () => {
	await target.listen();
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	await system.sendHeartbeat(target, 'orders');
	await waitFor('requests are served', async () =>
		(await system.request(entry, 'POST', '/short/0', { body: 'x' })).status === 200 ? true : undefined
	);
	await Promise.all(
		['/short/1', '/long/1'].map(path => system.request(entry, 'POST', path, { body: 'x', remainingMs: REMAINING_MS }))
	);
});

after(async () => {
	await system.stopAll();
	target.crash();
});

/** Sends all of a request but its last byte at one time, and that byte at another. */
async function send(path: string, bodyBytes: number, headAtMs: number, lastByteAtMs: number): Promise<SentRequest> {
	const id = `${path.slice(1)}-${bodyBytes}-${lastByteAtMs}`;
	await delay(headAtMs);
	const { hostname, port } = new URL(system.callerUrl(entry));
	const socket = connect(Number(port), hostname);
	const head = [
		`POST ${path} HTTP/1.1`,
		'Host: shop.example',
		`Request-Id: ${id}`,
		`Deadline-Ms: ${REMAINING_MS}`,
		`Content-Length: ${bodyBytes}`
	];
	let text = '';
	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => (text += chunk));
	socket.on('error', () => undefined);
	const closed = new Promise(resolve => socket.once('close', resolve));
	socket.write(`${head.join('\r\n')}\r\n\r\n${'x'.repeat(bodyBytes - 1)}`);
	await delay(lastByteAtMs - headAtMs);
	socket.write('x');
	await closed;
	return { id, text };
}

function isWholeAnswer({ id, text }: SentRequest): boolean {
	return text.startsWith('HTTP/1.1 200 ') && text.endsWith(`${id}:${'x'.repeat(target.options.paddingBytes)}`);
}

function isPromise({ text }: SentRequest): boolean {
	const headers = [/verdict: not-run\r\n/i, /\r\nretry-after: /i, /\r\nconnection: close\r\n/i];
	return text.startsWith('HTTP/1.1 503 ') && headers.every(header => header.test(text));
}

/** Guards against requests that are passed on late in the grace period and cut when the process ends. */
test('requests that come late in a planned stop are answered, or refused before they are passed on', async context => {
	const startedAt = performance.now();
	const exited = system.stop(entry, 'SIGTERM').then(code => ({ code, tookMs: performance.now() - startedAt }));
	const early = [
		send('/short/', SMALL_BODY_BYTES, 100, 200),
		send('/long/', SMALL_BODY_BYTES, 100, 300),
		send('/unmeasured/', SMALL_BODY_BYTES, 100, 400),
		send('/short/', SMALL_BODY_BYTES, LATE_HEAD_MS, 2800)
	];
	const late = LAST_BYTES_MS.flatMap(lastByteAtMs =>
		Object.keys(WORK_MS).flatMap(name =>
			[SMALL_BODY_BYTES, STREAMED_BODY_BYTES].map(bytes => send(`/${name}/`, bytes, LATE_HEAD_MS, lastByteAtMs))
		)
	);
	const overdue = delay(LATE_HEAD_MS).then(() =>
		system.request(entry, 'POST', '/short/', { body: OVERDUE_BODY, remainingMs: REMAINING_MS }).then(
			({ status }) => status,
			() => 'no answer'
		)
	);
	const [earlySent, lateSent] = await Promise.all([Promise.all(early), Promise.all(late)]);
	assert.deepEqual(
		earlySent.filter(sent => !isWholeAnswer(sent)).map(({ id }) => id),
		[],
		'requests that can be answered in time are served'
	);
	const passedOn = new Set(target.executedRequests.map(({ id }) => id));
	const failed = lateSent.filter(sent => !(passedOn.has(sent.id) ? isWholeAnswer(sent) : isPromise(sent)));
	assert.deepEqual(
		failed.map(({ id, text }) => [id, passedOn.has(id) ? 'passed on' : 'not passed on', text.slice(0, 40)]),
		[]
	);
	const { code, tookMs } = await exited;
	assert.equal(code, 0);
	assert.equal(await overdue, 'no answer', 'a request that runs at the end gets no answer of the instance');
	context.diagnostic(`the process ended after ${Math.round(tookMs)} ms`);
	assert.ok(tookMs < GRACE_MS, `the process ended after ${Math.round(tookMs)} ms`);
});
