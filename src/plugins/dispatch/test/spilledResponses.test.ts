/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Responses that another entry instance passes on and that end without their end. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { systemClock } from '../../../base/clock.js';
import { RefusalReason, RequestError } from '../../../base/verdict.js';
import { GrpcPeerTransport } from '../../../kernel/node/peerTransport.js';
import type { ISettingsService } from '../../../kernel/node/settingsService.js';
import type { DispatchRequest, ResponseSink } from '../common/dispatch.js';
import { serveSpilledRequests, type SpillHandler, spillRequest } from '../node/spillTransport.js';

const REMAINING_MS = 5000;
const settings: ISettingsService = {
	section: <T>() => ({ peerAddress: '127.0.0.1:0', keyFile: '' }) as T,
	namedSections: <T>(): ReadonlyMap<string, T> => new Map(),
	reload: () => []
};
const transport = new GrpcPeerTransport(settings);
let address = '';
let handle: SpillHandler;

const request: DispatchRequest = {
	requestId: 'r-1',
	service: 's',
	group: 'g',
	method: 'GET',
	path: '/',
	headers: {},
	body: Buffer.alloc(0),
	deadline: systemClock.now() + REMAINING_MS,
	isDeadlineStrict: true,
	isRepeatable: true,
	signal: new AbortController().signal
};

/** Passes the request on; resolves with the calls of the sink and the error. */
async function spill(handler: SpillHandler): Promise<{ calls: string[]; error: RequestError }> {
	handle = handler;
	const calls: string[] = [];
	const sink: ResponseSink = {
		start: () => calls.push('start'),
		write: () => calls.push('write') > 0,
		onDrain: () => undefined,
		end: () => calls.push('end'),
		abort: () => calls.push('abort')
	};
	const error = await spillRequest(transport, address, request, sink, false).then(
		() => assert.fail('the response is taken for whole'),
		(reason: RequestError) => reason
	);
	return { calls, error };
}

before(async () => {
	serveSpilledRequests(transport, (...args) => handle(...args));
	address = await transport.listen();
});

after(() => transport.dispose());

test('a response that breaks off at another instance breaks off here and does not keep its caller waiting', async () => {
	const { calls, error } = await spill(async (_request, sink) => {
		sink.start(200, [], false);
		sink.write(Buffer.from('half'));
		sink.abort();
		throw new RequestError('may-have-run', RefusalReason.TargetFailed, 502, 'response interrupted');
	});
	assert.deepEqual(calls, ['start', 'write', 'abort']);
	assert.deepEqual([error.verdict, error.reason], ['may-have-run', RefusalReason.TargetFailed]);
});

test('a stream that ends without the end of its response is a response that breaks off', async () => {
	const { calls, error } = await spill(async (_request, sink) => {
		sink.start(200, [], false);
		return 'target without an end';
	});
	assert.deepEqual([calls, error.verdict], [['start', 'abort'], 'may-have-run']);
});

test('a refusal before the response is passed on as it is', async () => {
	const { calls, error } = await spill(() =>
		Promise.reject(new RequestError('not-run', RefusalReason.NoCapacity, 503, 'no free slot'))
	);
	assert.deepEqual([calls, error.verdict, error.reason], [[], 'not-run', RefusalReason.NoCapacity]);
});
