/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Requests that one entry instance relays to another, over the real transport. */

import assert from 'node:assert/strict';
import { createServer, request as httpRequest, type IncomingMessage, type Server } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { systemClock } from '../../../base/clock.js';
import { BodyAccount } from '../../../kernel/common/bodyAccount.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import { HttpPeerCalls } from '../../../kernel/node/httpPeerCalls.js';
import { MetricsService } from '../../../kernel/node/metricsService.js';
import type { ISettingsService } from '../../../kernel/node/settingsService.js';
import type { IHeaderNames } from '../common/headerNames.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import type { EntryPeer } from '../../fleet/common/fleetWire.js';
import { LinkPacer } from '../common/linkPacer.js';
import { RELAY_PATH_PREFIX } from '../common/relayHeaders.js';
import { CallerExchange } from '../node/callerExchange.js';
import type { RelayOrigin } from '../node/forwarding.js';
import { LinkScheduler } from '../node/linkScheduler.js';
import { RelayClient } from '../node/relay/relayClient.js';
import { RelayedRequest } from '../node/relay/relayedRequest.js';
import { RelayServer } from '../node/relay/relayServer.js';
import { RequestBody } from '../node/requestBody.js';
import { RequestCompletion } from '../node/requestCompletion.js';
import type { RequestContext } from '../node/requestContext.js';
import type { RequestRecorder } from '../node/requestRecorder.js';

const MEMORY_MB = 256;
const NAMES = {
	requestId: 'request-id',
	remainingMs: 'deadline-ms',
	objectCookie: 'Affinity-Key',
	teamKey: 'credential',
	team: 'tenant',
	expectedTarget: 'expect-instance',
	notRun: 'not-executed',
	load: 'server-load',
	retryAfter: 'retry-after',
	leaving: 'server-leaving',
	limit: 'server-limit',
	stamp: 'server-stamp'
} satisfies IHeaderNames;
const REMAINING_MS = 2000;
const LARGE_BYTES = 2_000_000;
const POLL_MS = 5;
const LINK_MBIT = 1000;
const silentLog = { warn: () => undefined, error: () => undefined, info: () => undefined } as unknown as ILogService;

type Serve = (exchange: CallerExchange, origin: RelayOrigin) => Promise<void>;

/** An entry instance that takes relayed requests and answers them as a test says. */
class Peer {
	/** Whether its version knows relayed requests. */
	isOld = false;
	readonly served: { path: string; headers: IncomingMessage['headers']; body: string; origin: RelayOrigin }[] = [];
	readonly calls: HttpPeerCalls;
	readonly server: RelayServer;
	serve: Serve = exchange => Promise.resolve(exchange.sendLocalResponse(RESPONSE));
	isPartitioned = false;
	revision = 1;

	constructor() {
		const settings = { section: () => ({ peerAddress: '127.0.0.1:0' }) } as unknown as ISettingsService;
		this.calls = new HttpPeerCalls(settings, silentLog, new BodyAccount(256));
		const registerHandler = this.calls.handleRequests.bind(this.calls);
		this.calls.handleRequests = (prefix, handler) =>
			registerHandler(prefix, (request, response) =>
				this.isOld ? response.writeHead(404).end() : handler(request, response)
			);
		const isPartitioned = (): boolean => this.isPartitioned;
		const revision = (): number => this.revision;
		this.server = new RelayServer(this.calls, {
			eventLoopMonitor: { readDelayMs: () => 0 },
			forwarding: {
				get isPartitioned() {
					return isPartitioned();
				},
				serve: async (exchange, origin) => {
					const body = await RequestBody.read(exchange.request, new BodyAccount(MEMORY_MB));
					const { headers } = exchange.request;
					this.served.push({ path: exchange.path, headers, body: body.prefix.toString(), origin: origin! });
					await this.serve(exchange, origin!);
				},
				beginDrain: () => undefined
			},
			headerNames: NAMES,
			linkScheduler: new LinkScheduler(new LinkPacer(LINK_MBIT)),
			view: {
				get revision() {
					return revision();
				}
			} as unknown as FleetView,
			metrics: new MetricsService(),
			log: silentLog
		});
	}
}

const RESPONSE = { status: 429, verdict: 'not-run', reason: 'over-limit', retryAfterMs: 700 } as Parameters<
	CallerExchange['sendLocalResponse']
>[0];

let peers: Peer[];
let list: EntryPeer[];
let client: RelayClient;
let front: Server;
let wasTaken: boolean[];
let homeRegions: string[];
let isCounted: boolean;

async function startPeers(count: number): Promise<void> {
	peers = Array.from({ length: count }, () => new Peer());
	const addresses = await Promise.all(peers.map(peer => peer.calls.listen()));
	list = addresses.map((address, i) => ({ name: `e${i}`, address, region: `region-${i}` }));
}

/** Serves callers by relaying, as an instance does that reaches no target. */
async function relayFor(exchange: CallerExchange): Promise<void> {
	const body = await RequestBody.read(exchange.request, new BodyAccount(MEMORY_MB));
	const deadline = systemClock.now() + REMAINING_MS;
	const context = {
		exchange,
		body,
		homeRegions,
		deadline,
		isCounted,
		writtenAttempts: 2,
		retryPermit: { takenAt: 0, giveBack: () => undefined },
		attempts: [],
		attemptedAddresses: [],
		possibleRuns: 0
	};
	const isTaken = await client.relay(context as unknown as RequestContext);
	wasTaken.push(isTaken);
	if (!isTaken) {
		exchange.sendLocalResponse({ ...RESPONSE, status: 503 });
	}
}

beforeEach(async () => {
	wasTaken = [];
	homeRegions = [];
	isCounted = false;
	await startPeers(2);
	const recorder = { record: () => undefined } as unknown as RequestRecorder;
	const session = { ageMs: () => 0, view: {} } as unknown as ConstructorParameters<typeof RequestCompletion>[0];
	client = new RelayClient({
		region: 'region-0',
		linkMbit: LINK_MBIT,
		view: { revision: 1, peers: { digest: 0, peers: list } } as unknown as FleetView,
		headerNames: NAMES,
		completion: new RequestCompletion(session, recorder),
		metrics: new MetricsService()
	});
	const scheduler = new LinkScheduler(new LinkPacer(LINK_MBIT));
	front = createServer((request, response) => {
		void relayFor(new CallerExchange(new RelayedRequest(request, response, performance.now()), NAMES, scheduler));
	});
	await new Promise<void>(resolve => front.listen(0, '127.0.0.1', () => resolve()));
});

afterEach(() => {
	client.dispose();
	peers.forEach(peer => peer.calls.dispose());
	front.closeAllConnections();
	front.close();
});

interface CallerResult {
	readonly status: number;
	readonly headers: IncomingMessage['headers'];
	readonly body: string;
	readonly isComplete: boolean;
}

/** Sends a caller's request; `onRequest` gets it once it was sent. */
function call(body: string, onRequest: (abort: () => void) => void = () => undefined): Promise<CallerResult> {
	return new Promise((resolve, reject) => {
		const headers = { 'Request-Id': 'r-1', 'Deadline-Ms': '9000', Credential: 'key-1', 'Content-Length': body.length };
		const { port } = front.address() as AddressInfo;
		const request = httpRequest({ host: '127.0.0.1', port, method: 'POST', path: '/a/b?c=1', headers, agent: false });
		request.on('error', reject);
		request.on('response', response => {
			let text = '';
			response.setEncoding('latin1');
			response.on('data', chunk => (text += chunk));
			response.on('error', () => undefined);
			response.on('close', () =>
				resolve({
					status: response.statusCode!,
					headers: response.headers,
					body: text,
					isComplete: response.complete
				})
			);
		});
		request.end(body);
		onRequest(() => request.destroy());
	});
}

async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise(resolve => setTimeout(resolve, POLL_MS));
	}
}

/** The beginning of a target's response whose rest is streamed. */
function streamedResponse(remainingBody: IncomingMessage) {
	const rawHeaders = ['Request-Id', 'r-1', 'Server-Stamp', 's', 'Content-Length', String(LARGE_BYTES)];
	return {
		type: 'answer' as const,
		status: 200,
		rawHeaders,
		endsWithConnection: false,
		body: Buffer.alloc(0),
		remainingBody
	};
}

test('a request arrives at a peer as its caller sent it, and the response as the peer sent it', async () => {
	isCounted = true;
	const { status, headers, body } = await call('order');
	const [served] = peers[0]!.served;
	assert.deepEqual([served!.path, served!.body, served!.headers['credential']], ['/a/b?c=1', 'order', 'key-1']);
	assert.deepEqual(served!.origin, { isCounted: true, writtenAttempts: 2, hasRetry: true });
	assert.ok(Number(served!.headers['deadline-ms']) <= REMAINING_MS);
	assert.equal(status, 429);
	assert.deepEqual([headers['retry-after'], headers['shelffield-verdict']], ['0.70', 'not-run']);
	assert.equal(headers['shelffield-relay-revision'], undefined);
	assert.match(body, /over-limit/);
});

for (const [cause, prepare] of [
	['is draining', (peer: Peer) => peer.server.stopTaking()],
	['is partitioned as well', (peer: Peer) => (peer.isPartitioned = true)],
	['has an older revision', (peer: Peer) => (peer.revision = 0)],
	['has an older version', (peer: Peer) => (peer.isOld = true)],
	['has ended', (peer: Peer) => peer.calls.dispose()]
] as const) {
	test(`a peer that ${cause} takes no request, and another one does`, async () => {
		prepare(peers[0]!);
		assert.equal((await call('order')).status, 429);
		assert.deepEqual(
			peers.map(({ served }) => served.length),
			[0, 1]
		);
	});
}

test('a request that no peer takes is left to the caller of the relay', async () => {
	peers.forEach(peer => peer.server.stopTaking());
	assert.equal((await call('order')).status, 503);
	assert.deepEqual(wasTaken, [false]);
});

test('a request is offered only to peers in its home regions', async () => {
	homeRegions = ['region-1'];
	peers[1]!.server.stopTaking();
	assert.equal((await call('order')).status, 503);
	assert.equal(peers[0]!.served.length, 0);
});

/** Guards against a second run: a request whose peer broke off may have run. */
test('a request whose peer breaks off before its response is not offered to another one', async () => {
	peers[0]!.serve = exchange => Promise.resolve(void exchange.request.socket.destroy());
	const { status, body } = await call('order');
	assert.equal(status, 502);
	assert.match(body, /may-have-run/);
	assert.equal(peers[1]!.served.length, 0);
});

test('a response that breaks off on the way does not look complete', async () => {
	const target = createServer((_request, response) => {
		response.writeHead(200, { 'Content-Length': LARGE_BYTES });
		response.write(Buffer.alloc(LARGE_BYTES / 2));
		setTimeout(() => response.socket?.resetAndDestroy(), 100);
	});
	await new Promise<void>(resolve => target.listen(0, '127.0.0.1', () => resolve()));
	const { port } = target.address() as AddressInfo;
	peers[0]!.serve = exchange =>
		new Promise(resolve => {
			const request = httpRequest({ host: '127.0.0.1', port, agent: false }, response => {
				exchange.forwardResponse(streamedResponse(response), performance.now() + REMAINING_MS);
				resolve();
			});
			request.on('error', () => undefined);
			request.end();
		});
	const { status, isComplete } = await call('order');
	target.close();
	assert.equal(status, 200);
	assert.equal(isComplete, false);
});

/** Guards against work for callers that have left. */
test('a caller who leaves ends the attempt at the peer', async () => {
	let hasLeft = false;
	peers[0]!.serve = async exchange => {
		exchange.setDisconnectHandler(() => (hasLeft = true));
		await waitUntil(() => hasLeft);
	};
	const abandoned = call('order', abort => void waitUntil(() => peers[0]!.served.length > 0).then(abort));
	await assert.rejects(abandoned);
	await waitUntil(() => peers[0]!.server.inFlight === 0);
	assert.equal(hasLeft, true);
});

test('after a peer has handled a request by a newer revision, none is handled by an older one', async () => {
	peers[0]!.revision = 7;
	await call('order');
	assert.equal(client.isAhead, true);
	peers[0]!.revision = 6;
	peers[1]!.revision = 7;
	await call('order');
	assert.equal(peers[1]!.served.length, 1);
});

test('a declined request whose body does not end loses its connection', async () => {
	const peer = new Peer();
	peer.isPartitioned = true;
	const [host, port] = (await peer.calls.listen()).split(':');
	const socket = connect(Number(port), host);
	let received = '';
	socket.on('data', data => (received += data.toString('latin1')));
	socket.write(`POST ${RELAY_PATH_PREFIX}/a HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n`);
	await new Promise(resolve => socket.once('close', resolve));
	assert.match(received, /^HTTP\/1.1 503 /);
	peer.calls.dispose();
});
