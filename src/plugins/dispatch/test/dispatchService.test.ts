/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Spillover when the own targets become unavailable, and with outdated load reports of other instances. */

import assert from 'node:assert/strict';
import { EventEmitter, once } from 'node:events';
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, test } from 'node:test';
import { systemClock } from '../../../base/clock.js';
import { Emitter } from '../../../base/event.js';
import { RefusalReason } from '../../../base/verdict.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IPeerTransport } from '../../../kernel/node/peerTransport.js';
import type { ISettingsService } from '../../../kernel/node/settingsService.js';
import type { IEntryConfiguration } from '../../configuration/common/entryConfiguration.js';
import type { DispatchRequest, ResponseSink } from '../common/dispatch.js';
import type { SpillResponse } from '../common/spill.js';
import { DispatchService } from '../node/dispatchService.js';

const SERVICE_SETTINGS = {
	maxQueued: 10,
	maxBodyBytes: 1000,
	deadlineMs: 5000,
	typicalWorkMs: 10,
	slowStartMs: 0,
	cancelGraceMs: 0,
	retryRatio: 0.1
};
const IDENTITY = { instance: 'e1', hall: 'h1', region: 'r1', url: '', peerAddress: 'e1:1', incarnation: '1' };
const NO_LOG = { info: () => undefined, warn: () => undefined, error: () => undefined } as unknown as ILogService;
const SINK: ResponseSink = {
	start: () => undefined,
	write: () => true,
	onDrain: () => undefined,
	end: () => undefined,
	abort: () => undefined
};
const servers: Server[] = [];

after(() => servers.forEach(server => server.close()));

async function listen(listener: RequestListener): Promise<string> {
	const server = createServer(listener);
	servers.push(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Stream to another instance that replies with fixed messages. */
class FakeSpillStream extends EventEmitter {
	constructor(private readonly _responses: readonly SpillResponse[]) {
		super();
	}

	write(): void {
		setImmediate(() => this._responses.forEach(response => this.emit('data', response)));
	}

	end(): void {
		// The replies are sent on `write`.
	}
}

const COMPLETE_RESPONSE: readonly SpillResponse[] = [
	{ type: 'start', status: 200, headers: [] },
	{ type: 'end', target: 'elsewhere' }
];
const REFUSAL: readonly SpillResponse[] = [
	{ type: 'refused', verdict: 'not-run', reason: RefusalReason.NoCapacity, status: 503, message: 'no slot' }
];

const LOST_RESPONSE: readonly SpillResponse[] = [
	{ type: 'refused', verdict: 'may-have-run', reason: RefusalReason.TargetFailed, status: 502, message: 'lost' }
];

interface TestInstance {
	readonly service: DispatchService;
	readonly calledAddresses: string[];
	ownsTarget: boolean;
	changeOwnership(): void;
}

/** Starts an instance with one target of one slot; the other instances reply with the given messages. */
async function startInstance(
	targetUrl: string,
	others: ReadonlyMap<string, readonly SpillResponse[]>
): Promise<TestInstance> {
	const target = { name: 't1', service: 's', url: targetUrl, hall: 'h1', region: 'r1', slots: 1, state: 'live' };
	const listUrl = await listen((_request, response) => response.end(JSON.stringify({ targets: [target] })));
	const settings = {
		section: () => ({ ...IDENTITY, listUrl }),
		namedSections: () => new Map([['s', SERVICE_SETTINGS]])
	} as unknown as ISettingsService;
	const names = [...others.keys()];
	const identityOf = (instance: string) => ({ ...IDENTITY, instance, peerAddress: instance });
	const configuration = {
		identity: IDENTITY,
		directory: { term: 1, version: 1, entries: names.map(name => ({ identity: identityOf(name), leaving: false })) },
		loads: {
			region: 'r1',
			services: [{ service: 's', instances: names, slots: names.map(() => 6), used: names.map(() => 6) }]
		},
		onDidChange: new Emitter<void>().event,
		addReportPart: () => undefined
	} as unknown as IEntryConfiguration;
	const calledAddresses: string[] = [];
	const transport = {
		handleStream: () => undefined,
		openStream: (address: string) => {
			calledAddresses.push(address);
			return new FakeSpillStream(others.get(address)!);
		}
	} as unknown as IPeerTransport;
	const onDidChange = new Emitter<void>();
	const instance = { calledAddresses, ownsTarget: true, changeOwnership: () => onDidChange.fire() };
	const ownership = { owns: () => instance.ownsTarget, onDidChange: onDidChange.event };
	const service = new DispatchService(settings, configuration, ownership, transport, NO_LOG);
	await service.start();
	return Object.assign(instance, { service });
}

function request(id: string): DispatchRequest {
	return {
		requestId: id,
		service: 's',
		group: 'g',
		method: 'POST',
		path: '/',
		headers: {},
		body: Buffer.alloc(0),
		deadline: systemClock.now() + 5000,
		isDeadlineStrict: true,
		isRepeatable: false,
		signal: new AbortController().signal
	};
}

test('a request that is queued for an own target is passed to another instance when that target becomes unavailable', async t => {
	const pendingResponses: (() => void)[] = [];
	const targetUrl = await listen((_request, response) => pendingResponses.push(() => response.end('done')));
	const instance = await startInstance(targetUrl, new Map([['e2', COMPLETE_RESPONSE]]));
	t.after(() => instance.service.dispose());
	const first = instance.service.dispatch(request('r-1'), SINK);
	while (pendingResponses.length === 0) {
		await new Promise(resolve => setImmediate(resolve));
	}
	// The other instances report no free slots, so the request is queued at this instance.
	const second = instance.service.dispatch(request('r-2'), SINK);
	instance.ownsTarget = false;
	instance.changeOwnership();
	pendingResponses[0]!();
	assert.equal((await first).target, 't1');
	assert.equal((await second).target, 'elsewhere');
	assert.deepEqual(instance.calledAddresses, ['e2']);
});

test('an instance without targets tries further instances when the first ones refuse the request', async t => {
	const targetUrl = await listen((_request, response) => response.end('done'));
	const others = new Map([
		['e2', REFUSAL],
		['e3', REFUSAL],
		['e4', COMPLETE_RESPONSE],
		['e5', REFUSAL]
	]);
	const instance = await startInstance(targetUrl, others);
	t.after(() => instance.service.dispose());
	instance.ownsTarget = false;
	instance.changeOwnership();
	for (let i = 0; i < 20; i++) {
		assert.equal((await instance.service.dispatch(request(`r-${i}`), SINK)).target, 'elsewhere');
	}
});

/** Guards against a refusal that says the request has not run, although another instance may have run it. */
test('a request that may have run at every other instance is not refused as not run', async t => {
	const targetUrl = await listen((_request, response) => response.end('done'));
	const instance = await startInstance(targetUrl, new Map([['e2', LOST_RESPONSE]]));
	t.after(() => instance.service.dispose());
	instance.ownsTarget = false;
	instance.changeOwnership();
	await assert.rejects(instance.service.dispatch({ ...request('r-1'), isRepeatable: true }, SINK), {
		verdict: 'may-have-run'
	});
});

/** Guards against retries that no retry budget covers, when requests that may have run go on to further instances. */
test('requests that may have run elsewhere are retried at other instances within the retry ratio', async t => {
	const targetUrl = await listen((_request, response) => response.end('done'));
	const others = new Map(['e2', 'e3', 'e4', 'e5'].map(name => [name, LOST_RESPONSE] as const));
	const instance = await startInstance(targetUrl, others);
	t.after(() => instance.service.dispose());
	instance.ownsTarget = false;
	instance.changeOwnership();
	const requests = 30;
	for (let i = 0; i < requests; i++) {
		await assert.rejects(instance.service.dispatch({ ...request(`r-${i}`), isRepeatable: true }, SINK), {
			verdict: 'may-have-run'
		});
	}
	const retries = instance.calledAddresses.length - requests;
	const allowed = SERVICE_SETTINGS.retryRatio * requests;
	assert.ok(retries > 0 && retries <= allowed, `${retries} retries, ${allowed} allowed`);
});
