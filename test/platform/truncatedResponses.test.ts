/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Responses without a length whose entry instance ends midway. The operating system closes its connections in order. */

import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { after, afterEach, before, test } from 'node:test';
import { takeReset } from '../../src/kernel/node/connectionReset.js';
import { createConfigDocument, type Instance, PlatformTestSystem, waitFor } from './platformTestSystem.js';
import { type InjectedFault, TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/file/', kind: 'safe', service: 'files', timeout: '20000ms', attempts: 1 }] as const;
const REMAINING_MS = 20000;
/** More than an entry instance buffers. */
const PADDING_BYTES = 400_000;
const EMPTY_CHUNK = '\r\n0\r\n\r\n';
const system = new PlatformTestSystem(3, 2, '', [], 'test/fakes/partitionPreload.js');
const [entry, peer] = system.entries as [Instance, Instance];
const injectedFaults: InjectedFault[] = [];

function createTarget(index: number, paddingBytes: number): TestTarget {
	const host = system.targetHost(index);
	return new TestTarget({ id: `i-${index}`, host, port: 8080, slots: 20, workMs: 5, paddingBytes }, injectedFaults);
}

const largeTarget = createTarget(1, PADDING_BYTES);

/** What a caller has received on its connection, and whether the connection has ended in order. */
interface RawResponse {
	readonly socket: Socket;
	text: string;
	hasEnded: boolean;
	isClosed: boolean;
}

function sendRaw(instance: Instance, version: string, id: string): RawResponse {
	const { hostname, port } = new URL(system.callerUrl(instance));
	const socket = connect({ port: Number(port), host: hostname, allowHalfOpen: true });
	const received: RawResponse = { socket, text: '', hasEnded: false, isClosed: false };
	socket.setEncoding('latin1');
	socket.on('data', (text: string) => (received.text += text));
	socket.on('end', () => {
		// Node.js reports an end for a reset as well where it has data to read.
		received.hasEnded = !takeReset(socket);
		socket.end();
	});
	socket.on('error', () => undefined);
	socket.on('close', () => (received.isClosed = true));
	const head = [
		`GET /file/1 HTTP/${version}`,
		'Host: shop.example',
		`Request-Id: ${id}`,
		`Deadline-Ms: ${REMAINING_MS}`
	];
	socket.write(`${head.join('\r\n')}\r\n\r\n`);
	return received;
}

function isSuccess({ text }: RawResponse): boolean {
	return /^HTTP\/1\.[01] 200 /.test(text);
}

/** Whether a caller takes what it has received for a whole response (RFC 9112, section 8). */
function looksComplete(response: RawResponse): boolean {
	const [head, body] = splitHead(response.text);
	const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
	if (length !== undefined) {
		return body.length >= Number(length);
	}
	return /\r\ntransfer-encoding: chunked/i.test(head) ? body.endsWith(EMPTY_CHUNK) : response.hasEnded;
}

function splitHead(text: string): [head: string, body: string] {
	const end = text.indexOf('\r\n\r\n');
	return end < 0 ? [text, ''] : [text.slice(0, end), text.slice(end + 4)];
}

async function waitForClose(response: RawResponse): Promise<void> {
	await waitFor('the connection is closed', () => Promise.resolve(response.isClosed || undefined));
}

/** Has the part of a response that a target sends without a length arrive at a caller. */
async function receivePart(instance: Instance, version: string, id: string): Promise<RawResponse> {
	injectedFaults.push('unframed-half');
	const response = sendRaw(instance, version, id);
	await waitFor('a part of the response has arrived', () =>
		Promise.resolve(splitHead(response.text)[1].length > 0 || undefined)
	);
	assert.ok(isSuccess(response), response.text.slice(0, 100));
	return response;
}

async function waitUntilServed(): Promise<void> {
	for (const instance of system.entries) {
		await waitFor('requests are served', async () =>
			(await system.request(instance, 'GET', '/file/1')).status === 200 ? true : undefined
		);
	}
}

/** Has the entry instance relay requests; until it has noticed the partition, it may still answer one on an open connection. */
async function relayRequests(): Promise<void> {
	const start = entry.output.length;
	system.setPartition(entry, 'reset');
	await waitFor('requests are relayed', async () => {
		await system.request(entry, 'GET', '/file/1');
		return entry.output.includes('"end":"relayed"', start) ? true : undefined;
	});
}

before(async () => {
	await largeTarget.listen();
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	await system.sendHeartbeat(largeTarget, 'files');
	await waitUntilServed();
});

afterEach(async () => {
	injectedFaults.length = 0;
	system.setPartition(entry, undefined);
	await Promise.all(system.entries.map(instance => system.stop(instance, 'SIGKILL')));
	system.entries.forEach(instance => system.start(instance, false));
	await waitUntilServed();
});

after(async () => {
	await system.stopAll();
	largeTarget.crash();
});

for (const signal of ['SIGKILL', 'SIGTERM'] as const) {
	for (const version of ['1.1', '1.0']) {
		test(`a part of a response without a length never looks whole to an HTTP/${version} caller after ${signal}`, async () => {
			const response = await receivePart(entry, version, `part-${version}-${signal}`);
			await system.stop(entry, signal);
			await waitForClose(response);
			assert.ok(!isSuccess(response) || !looksComplete(response), 'a part of the response looks whole');
		});
	}

	test(`a part of a relayed response without a length never looks whole after ${signal} of the other instance`, async () => {
		await relayRequests();
		const response = await receivePart(entry, '1.1', `relayed-${signal}`);
		await system.stop(peer, signal);
		await waitForClose(response);
		assert.ok(!isSuccess(response) || !looksComplete(response), 'a part of the response looks whole');
	});
}

test('a response without a length that ends in order reaches callers whole', async () => {
	injectedFaults.push('unframed');
	const response = sendRaw(entry, '1.1', 'whole');
	await waitFor('the response is whole', () => Promise.resolve(looksComplete(response) || undefined));
	const [, body] = splitHead(response.text);
	assert.deepEqual([isSuccess(response), body.length], [true, 'whole:'.length + PADDING_BYTES]);
});

test('a chunked response that breaks off never looks whole to an HTTP/1.0 caller', async () => {
	injectedFaults.push('chunked-half');
	const response = sendRaw(entry, '1.0', 'chunked');
	await waitForClose(response);
	assert.ok(!isSuccess(response) || !looksComplete(response), 'a part of the response looks whole');
});

test('a part of a response without a length never looks whole to a caller that has closed its side', async () => {
	const response = await receivePart(entry, '1.1', 'half-closed');
	response.socket.end();
	await waitForClose(response);
	assert.ok(!isSuccess(response) || !looksComplete(response), 'a part of the response looks whole');
});
