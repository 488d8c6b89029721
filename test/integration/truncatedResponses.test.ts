/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Responses whose entry instance or target ends midway, on the product's own path: no part of them looks whole to a caller. */

import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import { takeReset } from '../../src/kernel/node/connectionReset.js';
import { LocalSystem } from '../local/localSystem.js';

const BODY_BYTES = 2_000_000;
const DIGEST_LENGTH = 64;
const POLL_MS = 20;
const LAST_CHUNK = '\r\n0\r\n\r\n';
let system: LocalSystem;

interface RawResponse {
	readonly socket: Socket;
	text: string;
	hasEnded: boolean;
	isClosed: boolean;
}

function sendRaw(version: string, query: string): RawResponse {
	const { hostname, port } = new URL(system.entries[0]!.url);
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
	const path = `/s/grower/file?bytes=${BODY_BYTES}&${query}`;
	socket.write(`GET ${path} HTTP/${version}\r\nHost: a.example\r\nShelffield-Group: growers\r\n\r\n`);
	return received;
}

async function waitUntil(isMet: () => boolean): Promise<void> {
	while (!isMet()) {
		await delay(POLL_MS);
	}
}

function splitHead(text: string): [head: string, body: string] {
	const end = text.indexOf('\r\n\r\n');
	return end < 0 ? [text, ''] : [text.slice(0, end), text.slice(end + 4)];
}

/** Whether a caller takes what it has received for a whole response (RFC 9112, section 8). */
function looksComplete({ text, hasEnded }: RawResponse): boolean {
	const [head, body] = splitHead(text);
	return /\r\ntransfer-encoding: chunked/i.test(head) ? body.endsWith(LAST_CHUNK) : hasEnded;
}

/** Has the first part of a response that takes long arrive at a caller. */
async function receivePart(version: string, query: string): Promise<RawResponse> {
	const response = sendRaw(version, `workMs=20000&${query}`);
	await waitUntil(() => response.isClosed || splitHead(response.text)[1].length > 0);
	assert.match(response.text, /^HTTP\/1\.1 200 /);
	return response;
}

async function waitUntilServed(): Promise<void> {
	const headers = { 'shelffield-group': 'growers' };
	while ((await request(`${system.entries[0]!.url}/s/grower/ready`, { headers })).statusCode !== 200) {
		await delay(POLL_MS);
	}
}

async function assertBreaksOff(response: RawResponse): Promise<void> {
	await waitUntil(() => response.isClosed);
	assert.ok(!looksComplete(response), 'a part of the response looks whole');
}

before(async () => {
	system = await LocalSystem.start({ lookupTtlMs: 1000, targetsPerService: 12 });
	await waitUntilServed();
});

after(() => system.stop());

for (const [version, form] of [
	['1.0', 'chunked'],
	['1.0', 'unframed'],
	['1.1', 'unframed']
] as const) {
	test(`a part of a response that comes ${form} never looks whole to an HTTP/${version} caller after a kill`, async () => {
		const response = await receivePart(version, form);
		await system.entries[0]!.process.kill();
		await waitUntil(() => response.isClosed);
		await system.restart(system.entries[0]!);
		await waitUntilServed();
		await assertBreaksOff(response);
	});

	test(`a response that comes ${form} reaches an HTTP/${version} caller whole`, async () => {
		const response = sendRaw(version, `workMs=10&${form}`);
		await waitUntil(() => response.isClosed);
		assert.ok(response.hasEnded, 'the connection ends in order');
		assert.equal(splitHead(response.text)[1].length, BODY_BYTES + DIGEST_LENGTH);
	});
}

test('a chunked response that its target breaks off never looks whole to an HTTP/1.0 caller', async () => {
	const response = sendRaw('1.0', 'workMs=10&breakOff');
	await assertBreaksOff(response);
});

test('a part of a response without a length never looks whole to a caller that has closed its side', async () => {
	const response = await receivePart('1.1', 'unframed');
	response.socket.end();
	await assertBreaksOff(response);
});

test('a response without a length is not given chunks, which would vouch for its end', async () => {
	const response = await receivePart('1.1', 'unframed');
	assert.doesNotMatch(splitHead(response.text)[0], /transfer-encoding/i);
	response.socket.destroy();
});
