/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Targets that send responses without end to callers that read all of them. No check depends on the speed of the machine. */

import assert from 'node:assert/strict';
import { connect, createServer, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { after, afterEach, before, test } from 'node:test';
import { openDescriptors, peakMemoryMb } from './bodyCrowd.js';
import { createConfigDocument, PlatformTestSystem, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [
	{ prefix: '/order/', kind: 'unsafe', service: 'orders' },
	{ prefix: '/endless/', kind: 'unsafe', service: 'endless', timeout: '20000ms' }
] as const;
/** Memory of the machine of an entry instance. */
const ENTRY_MEMORY_MB = 160;
/** Descriptors of the machine that are not reserved for files. */
const MAX_DESCRIPTORS = 3900;
const CALLERS = 12;
/** Bytes that the target sends in each response. */
const RESPONSE_BYTES = 7_200_000;
const WRITE_BYTES = 64 * 1024;
/** Targets whose bytes are no longer taken for this long have sent what they can. */
const SETTLED_MS = 2000;
const POLL_MS = 100;
const ONE_BYTE_CHUNK = '1\r\nx\r\n';

const system = new PlatformTestSystem(3, 1, '', [], undefined, ENTRY_MEMORY_MB);
const entry = system.entries[0]!;
const orders = new TestTarget({
	id: 'i-1',
	host: system.targetHost(1),
	port: 8080,
	slots: 10,
	workMs: 5,
	paddingBytes: 20
});
/** Only heartbeats are sent for it; `server` listens in its place. */
const endless = new TestTarget({
	id: 'i-2',
	host: system.targetHost(2),
	port: 8080,
	slots: 100,
	workMs: 0,
	paddingBytes: 0
});
/** Head of the next responses, after which `repeated` follows without end. */
let head: (id: string) => string;
let repeated: string;
let progress = 0;
let sending = 0;
const sockets = new Set<Socket>();
const server = createServer(socket => {
	sockets.add(socket);
	socket.on('error', () => undefined);
	socket.on('data', (data: Buffer) => {
		const id = /request-id: (\S+)/i.exec(data.toString('latin1'))?.[1] ?? '';
		sending++;
		void sendEndlessly(socket, id).then(() => sending--);
	});
});

/** A response without end. */
interface EndlessKind {
	readonly name: string;
	readonly head: (id: string) => string;
	/** Follows the head without end. */
	readonly repeated: string;
	/** Whether the caller reads nothing. */
	readonly isUnread?: boolean;
}

function okHead(id: string, ...lines: string[]): string {
	return ['HTTP/1.1 200 OK', `Request-Id: ${id}`, ...lines].join('\r\n');
}

async function sendEndlessly(socket: Socket, id: string): Promise<void> {
	const closed = new Promise<void>(resolve => socket.once('close', () => resolve()));
	socket.write(head(id));
	if (repeated === '') {
		return;
	}
	const block = Buffer.from(repeated.repeat(Math.ceil(WRITE_BYTES / repeated.length)), 'latin1');
	for (let bytes = 0; bytes < RESPONSE_BYTES && !socket.destroyed; bytes += block.length) {
		await Promise.race([new Promise<void>(resolve => socket.write(block, () => resolve())), closed]);
		progress++;
	}
}

/** Opens a connection of a caller that reads all it gets, or nothing. */
function sendCaller(i: number, isReading: boolean): Socket {
	const { hostname, port } = new URL(system.callerUrl(entry));
	const socket = connect(Number(port), hostname);
	sockets.add(socket);
	socket.on('error', () => undefined);
	if (isReading) {
		socket.resume();
	}
	const lines = ['POST /endless/1 HTTP/1.1', 'Host: shop.example', `Request-Id: endless-${i}`, 'Deadline-Ms: 20000'];
	socket.write(`${[...lines, 'Content-Length: 0'].join('\r\n')}\r\n\r\n`);
	return socket;
}

async function waitUntilSettled(): Promise<void> {
	let [seen, seenAt] = [-1, 0];
	while (sending > 0 && (seen !== progress || performance.now() - seenAt < SETTLED_MS)) {
		if (seen !== progress) {
			[seen, seenAt] = [progress, performance.now()];
		}
		await delay(POLL_MS);
	}
}

function closeSockets(): void {
	sockets.forEach(socket => socket.destroy());
	sockets.clear();
}

async function expectKnowsTargets(): Promise<void> {
	head = id => `${okHead(id, 'Content-Length: 0')}\r\n\r\n`;
	repeated = '';
	await expectServes();
	await waitFor('the other target is known', async () =>
		(await system.request(entry, 'POST', '/endless/1')).status === 200 ? true : undefined
	);
}

async function expectServes(): Promise<void> {
	await waitFor('an ordinary request is answered', async () =>
		(await system.request(entry, 'POST', '/order/1', { body: 'ordinary' })).status === 200 ? true : undefined
	);
}

before(async () => {
	await orders.listen();
	await new Promise<void>(resolve => server.listen(endless.options.port, endless.options.host, resolve));
	system.startAll();
	await system.publish(createConfigDocument(1, ROUTES), 0);
	await system.sendHeartbeat(orders, 'orders');
	await system.sendHeartbeat(endless, 'endless');
	await expectKnowsTargets();
});

afterEach(async () => {
	closeSockets();
	await system.stop(entry, 'SIGKILL');
	system.start(entry, false);
	await expectKnowsTargets();
});

after(async () => {
	await system.stopAll();
	closeSockets();
	orders.crash();
	server.close();
});

const kinds: readonly EndlessKind[] = [
	{
		name: 'chunks of one byte',
		head: (id: string) => `${okHead(id, 'Transfer-Encoding: chunked')}\r\n\r\n`,
		repeated: ONE_BYTE_CHUNK
	},
	{ name: 'a body without a length', head: (id: string) => `${okHead(id)}\r\n\r\n`, repeated: 'x' },
	{ name: 'headers', head: (id: string) => `${okHead(id)}\r\n`, repeated: 'Name: value\r\n' },
	{ name: 'interim responses', head: () => '', repeated: 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n' },
	{ name: 'one header', head: (id: string) => `${okHead(id)}\r\nName: `, repeated: 'x' },
	{ name: 'bytes that are no response', head: () => '', repeated: 'x' },
	{ name: 'blank lines in place of a response', head: () => '', repeated: '\r\n' },
	{
		name: 'bytes after a whole response',
		head: (id: string) => `${okHead(id, 'Content-Length: 2')}\r\n\r\nok`,
		repeated: 'x'
	},
	{
		name: 'further responses after a whole one',
		head: (id: string) => `${okHead(id, 'Content-Length: 2')}\r\n\r\nok`,
		repeated: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno'
	},
	{
		name: 'trailers',
		head: (id: string) => `${okHead(id, 'Transfer-Encoding: chunked')}\r\n\r\n2\r\nok\r\n0\r\n`,
		repeated: 'Name: value\r\n'
	},
	{
		name: 'an extension of a chunk',
		head: (id: string) => `${okHead(id, 'Transfer-Encoding: chunked')}\r\n\r\n2;name=`,
		repeated: 'x'
	},
	{
		name: 'a body that is not read',
		head: (id: string) => `${okHead(id)}\r\n\r\n`,
		repeated: 'x',
		isUnread: true
	}
];

for (const kind of kinds) {
	test(`an entry instance outlives responses with ${kind.name} without end`, async context => {
		({ head, repeated } = kind);
		progress = 0;
		const child = entry.child!;
		const callers = Array.from({ length: CALLERS }, (_unused, i) => sendCaller(i, !kind.isUnread));
		await waitFor('the target sends', () => Promise.resolve(progress > 0 || undefined));
		await expectServes();
		await waitUntilSettled();
		assert.equal(child.exitCode ?? child.signalCode, null, 'the process has ended');
		const descriptors = openDescriptors(child.pid!);
		assert.ok(descriptors < MAX_DESCRIPTORS, `${descriptors} descriptors`);
		await expectServes();
		callers.forEach(socket => socket.destroy());
		await expectServes();
		const peakMb = peakMemoryMb(child.pid!);
		context.diagnostic(`${Math.round(peakMb)} MiB at the peak`);
		assert.ok(peakMb < ENTRY_MEMORY_MB, `${Math.round(peakMb)} MiB at the peak`);
	});
}

test('a response in many chunks of one byte arrives whole', async () => {
	const body = '0123456789'.repeat(20000);
	const chunks = body.replaceAll(/./g, '1\r\n$&\r\n');
	head = id => `${okHead(id, 'Transfer-Encoding: chunked')}\r\n\r\n${chunks}0\r\n\r\n`;
	repeated = '';
	const response = await system.request(entry, 'POST', '/endless/1');
	assert.equal(response.status, 200);
	assert.ok(response.body === body);
});
