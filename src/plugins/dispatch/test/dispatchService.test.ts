/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Requests whose own targets stop taking work, and requests handed on by what is known too late. */

import assert from 'node:assert/strict';
import { EventEmitter, once } from 'node:events';
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, test } from 'node:test';
import { systemClock } from '../../../base/clock.js';
import { Emitter } from '../../../base/event.js';
import { RefusalReason } from '../../../base/verdict.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IPeerWire } from '../../../kernel/node/peerWire.js';
import type { ISettingsService } from '../../../kernel/node/settingsService.js';
import type { IEntryConfiguration } from '../../configuration/common/entryConfiguration.js';
import type { CarriedRequest, ResponseSink } from '../common/dispatch.js';
import type { SpillAnswer } from '../common/spill.js';
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
	breakOff: () => undefined
};
const servers: Server[] = [];

after(() => servers.forEach(server => server.close()));

async function listen(answer: RequestListener): Promise<string> {
	const server = createServer(answer);
	servers.push(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Another instance, as a stream to it looks from here. */
class FakeSpillStream extends EventEmitter {
	constructor(private readonly _answers: readonly SpillAnswer[]) {
		super();
	}

	write(): void {
		setImmediate(() => this._answers.forEach(answer => this.emit('data', answer)));
	}

	end(): void {
		// Nothing more is sent.
	}
}

const SERVED: readonly SpillAnswer[] = [
	{ type: 'start', status: 200, headers: [] },
	{ type: 'end', target: 'elsewhere' }
];
const NO_SLOT: readonly SpillAnswer[] = [
	{ type: 'refused', verdict: 'not-run', reason: RefusalReason.NoCapacity, status: 503, message: 'no slot' }
];

interface World {
	readonly service: DispatchService;
	readonly asked: string[];
	owned: boolean;
	changeOwnership(): void;
}

/** One instance with one target of one slot, and others that answer as told. */
async function startWorld(targetUrl: string, others: ReadonlyMap<string, readonly SpillAnswer[]>): Promise<World> {
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
	const asked: string[] = [];
	const wire = {
		handleStream: () => undefined,
		openStream: (address: string) => {
			asked.push(address);
			return new FakeSpillStream(others.get(address)!);
		}
	} as unknown as IPeerWire;
	const onDidChange = new Emitter<void>();
	const world = { asked, owned: true, changeOwnership: () => onDidChange.fire() };
	const ownership = { owns: () => world.owned, onDidChange: onDidChange.event };
	const service = new DispatchService(settings, configuration, ownership, wire, NO_LOG);
	await service.start();
	return Object.assign(world, { service });
}

function request(id: string): CarriedRequest {
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

test('a request that waits for a target here is handed on when that target stops taking work', async t => {
	const held: (() => void)[] = [];
	const targetUrl = await listen((_request, response) => held.push(() => response.end('done')));
	const world = await startWorld(targetUrl, new Map([['e2', SERVED]]));
	t.after(() => world.service.dispose());
	const first = world.service.dispatch(request('r-1'), SINK);
	while (held.length === 0) {
		await new Promise(resolve => setImmediate(resolve));
	}
	// What the others say of their free slots lags: none is known, so the request waits here.
	const second = world.service.dispatch(request('r-2'), SINK);
	world.owned = false;
	world.changeOwnership();
	held[0]!();
	assert.equal((await first).target, 't1');
	assert.equal((await second).target, 'elsewhere');
	assert.deepEqual(world.asked, ['e2']);
});

test('an instance without targets asks on when the first ones that it knows of take nothing any more', async t => {
	const targetUrl = await listen((_request, response) => response.end('done'));
	const others = new Map([
		['e2', NO_SLOT],
		['e3', NO_SLOT],
		['e4', SERVED],
		['e5', NO_SLOT]
	]);
	const world = await startWorld(targetUrl, others);
	t.after(() => world.service.dispose());
	world.owned = false;
	world.changeOwnership();
	for (let i = 0; i < 20; i++) {
		assert.equal((await world.service.dispatch(request(`r-${i}`), SINK)).target, 'elsewhere');
	}
});
