/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Outcomes of one attempt. Connections are simulated, since not every loopback interface distinguishes a reset from a regular close. */

import assert from 'node:assert/strict';
import { Duplex } from 'node:stream';
import { test } from 'node:test';
import { BodyAccount } from '../../../kernel/common/bodyAccount.js';
import { type AttemptOutcome, ResponseFailureCause, NotRunCause } from '../common/attempt.js';
import type { IHeaderNames } from '../common/headerNames.js';
import type { TargetReport } from '../../placement/common/targets/targetReport.js';
import { RequestBody } from '../node/requestBody.js';
import { TargetAgent } from '../node/targets/targetAgent.js';
import { TargetExchange } from '../node/targetExchange.js';
import { truncatedHeads } from '../../../../test/fakes/truncatedHeads.js';

const MEMORY_MB = 256;
const NAMES: IHeaderNames = {
	requestId: 'request-id',
	remainingMs: 'remaining',
	objectCookie: 'object',
	teamKey: 'key',
	team: 'team',
	expectedTarget: 'expected',
	notRun: 'not-run',
	load: 'load',
	retryAfter: 'rest',
	leaving: 'leaving',
	limit: 'limit',
	stamp: 'stamp'
};

/** Creates simulated connections; `_play` acts as the target. */
class ScriptedAgent extends TargetAgent {
	/** @param _connecting whether the connections stay unestablished */
	constructor(
		private readonly _play: (connection: Duplex) => void,
		private readonly _connecting = false
	) {
		super();
	}

	connectionCount = 0;

	override createConnection(): Duplex {
		this.connectionCount++;
		const connection = new Duplex({
			read: () => undefined,
			write: (_chunk, _encoding, done) => {
				done();
				setImmediate(() => this._play(connection));
			}
		});
		const unused = (): unknown => connection;
		const methods = { setKeepAlive: unused, setTimeout: unused, ref: unused, unref: unused };
		return Object.assign(connection, { ...methods, connecting: this._connecting });
	}
}

/** What targets reported in response headers, in order. */
const reports: TargetReport[] = [];

/** @param attemptAtAddress number of the attempt among those of the request at the target */
async function startAttemptWith(agent: ScriptedAgent, attemptAtAddress: number): Promise<TargetExchange> {
	const body = await RequestBody.read({ headers: {} } as never, new BodyAccount(MEMORY_MB));
	return new TargetExchange(agent, NAMES, {
		attemptAtAddress,
		requestId: 'a',
		targetId: 't',
		host: '127.0.0.1',
		port: 1,
		method: 'GET',
		path: '/',
		rawHeaders: ['Request-Id', 'a'],
		body,
		connectTimeoutMs: 1000,
		maxBufferedBytes: 64 * 1024,
		onTargetReport: report => reports.push(report),
		onWritten: () => undefined
	});
}

function startAttempt(play: (connection: Duplex) => void, connecting = false): Promise<TargetExchange> {
	return startAttemptWith(new ScriptedAgent(play, connecting), 1);
}

async function attempt(play: (connection: Duplex) => void): Promise<AttemptOutcome> {
	return (await startAttempt(play)).outcome;
}

function resetError(): Error {
	return Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' });
}

test('a response without a length is complete when its connection closes, and broken when it is reset', async () => {
	const ended = await attempt(connection => {
		connection.push('HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nhalf');
		connection.push(null);
	});
	assert.equal(ended.type, 'answer');
	const reset = await attempt(connection => {
		connection.push('HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nhalf');
		setImmediate(() => connection.destroy(resetError()));
	});
	assert.equal(reset.type, 'broken');
});

for (const { place, text } of truncatedHeads('Request-Id: a')) {
	test(`a response that breaks off ${place} is broken, whether its connection is closed or reset`, async () => {
		const closed = await attempt(connection => {
			connection.push(text);
			connection.push(null);
		});
		const reset = await attempt(connection => {
			connection.push(text);
			setImmediate(() => connection.destroy(resetError()));
		});
		assert.deepEqual([closed.type, reset.type], ['broken', 'broken']);
	});
}

test('a written request is broken when its target restarts, even if its connection reports no error', async () => {
	const sent = await startAttempt(() => undefined);
	await new Promise(resolve => setTimeout(resolve, 10));
	sent.failOnTargetRestart();
	const outcome = await sent.outcome;
	assert.deepEqual(
		[outcome.type, outcome.type === 'broken' && outcome.cause],
		['broken', ResponseFailureCause.ConnectionLost]
	);
});

test('the stream of a large response without a length fails when its connection is reset', async () => {
	const outcome = await attempt(connection => {
		connection.push(`HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n${'x'.repeat(100000)}`);
		setTimeout(() => connection.destroy(resetError()), 10);
	});
	assert.ok(outcome.type === 'answer' && outcome.remainingBody);
	const end = await new Promise(resolve => {
		outcome.remainingBody!.once('end', () => resolve('whole')).once('error', () => resolve('broken'));
		outcome.remainingBody!.resume();
	});
	assert.equal(end, 'broken');
});

for (const byteCount of [1000, 200000]) {
	test(`a response of ${byteCount} chunks of one byte arrives whole, and its connection stays open`, async () => {
		const expected = Array.from({ length: byteCount }, (_unused, i) => String(i % 10)).join('');
		const agent = new ScriptedAgent(connection => {
			const chunks = expected.replaceAll(/./g, '1\r\n$&\r\n');
			connection.push(`HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`);
		});
		for (let i = 0; i < 2; i++) {
			const outcome = await (await startAttemptWith(agent, 1)).outcome;
			assert.ok(outcome.type === 'answer');
			const rest = await (outcome.remainingBody?.toArray() ?? []);
			assert.ok(Buffer.concat([outcome.body, ...(rest as Buffer[])]).toString() === expected);
		}
		assert.equal(agent.connectionCount, 1);
		agent.destroy();
	});
}

test('a response with another request id, or a successful one without an id, is broken', async () => {
	for (const head of ['Request-Id: b\r\n', '']) {
		const outcome = await attempt(connection =>
			connection.push(`HTTP/1.1 200 OK\r\n${head}Content-Length: 2\r\n\r\nok`)
		);
		assert.equal(outcome.type, 'broken');
	}
});

test('a response marked as not run is a refusal, whatever its status', async () => {
	for (const status of ['503 Service Unavailable', '429 Too Many Requests', '400 Bad Request']) {
		const outcome = await attempt(connection =>
			connection.push(`HTTP/1.1 ${status}\r\nRequest-Id: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`)
		);
		assert.deepEqual([outcome.type, outcome.type === 'not-run' && outcome.hasArrived], ['not-run', true]);
	}
});

test('a response with a large Content-Length is streamed from its first bytes', async () => {
	const outcome = await attempt(connection =>
		connection.push('HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 100000\r\n\r\nfirst bytes')
	);
	assert.ok(outcome.type === 'answer' && outcome.remainingBody);
	assert.equal(outcome.body.toString(), 'first bytes');
	outcome.remainingBody.destroy();
});

test('a target that refuses a request counts as full, unless it reports free slots and no queue', async () => {
	const causeAt = async (load: string): Promise<unknown> => {
		const head = `HTTP/1.1 503 Service Unavailable\r\nRequest-Id: a\r\nNot-Run: 1\r\n${load}Content-Length: 0\r\n\r\n`;
		const outcome = await attempt(connection => connection.push(head));
		return outcome.type === 'not-run' && outcome.cause;
	};
	assert.equal(await causeAt('Load: 3,0,9\r\n'), NotRunCause.Shed);
	assert.equal(await causeAt('Load: 9,27,9\r\n'), NotRunCause.Full);
	assert.equal(await causeAt('Load: 8,1,9\r\n'), NotRunCause.Full);
	assert.equal(await causeAt(''), NotRunCause.Full);
});

test('what a target reports in response headers is applied even if the body is truncated', async () => {
	const responses = [
		'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: a\r\nNot-Run: 1\r\nRest: 3\r\nContent-Length: 9\r\n\r\nbro',
		'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: a\r\nRest: 3\r\nContent-Length: 9\r\n\r\nbro',
		'HTTP/1.1 200 OK\r\nRequest-Id: a\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\nbro'
	];
	for (const response of responses) {
		reports.length = 0;
		await attempt(connection => {
			connection.push(response);
			setTimeout(() => connection.destroy(resetError()), 5);
		});
		assert.deepEqual(
			reports.map(({ backoffMs, isLeaving }) => backoffMs === 3000 || isLeaving),
			[true]
		);
	}
});

test('headers in a response of another target, or to another request, are ignored', async () => {
	reports.length = 0;
	for (const head of ['421 Misdirected Request\r\nRequest-Id: a', '503 Service Unavailable\r\nRequest-Id: b']) {
		await attempt(connection =>
			connection.push(`HTTP/1.1 ${head}\r\nLeaving: 1\r\nRest: 3\r\nContent-Length: 0\r\n\r\n`)
		);
	}
	assert.deepEqual(reports, []);
});

test('a request can be cancelled as not run until its connection is established, and not afterwards', async () => {
	const waiting = await startAttempt(() => undefined, true);
	waiting.cancelIfUnwritten(NotRunCause.BackingOff);
	assert.deepEqual(await waiting.outcome, { type: 'not-run', hasArrived: false, cause: NotRunCause.BackingOff });
	assert.equal(waiting.writtenAt, undefined);
	const written = await startAttempt(connection =>
		connection.push('HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok')
	);
	await new Promise(resolve => setImmediate(resolve));
	written.cancelIfUnwritten(NotRunCause.BackingOff);
	assert.equal((await written.outcome).type, 'answer');
});

/** Guards against the refusal of a request without an id, a second copy of which arrives where the response to another one is due. */
test('a refusal without a request id promises nothing for a request that has one', async () => {
	const outcome = await attempt(connection =>
		connection.push('HTTP/1.1 400 Bad Request\r\nNot-Run: no-id\r\nContent-Length: 0\r\n\r\n')
	);
	assert.deepEqual(
		[outcome.type, outcome.type === 'broken' && outcome.cause],
		['broken', ResponseFailureCause.ResponseMismatch]
	);
});

/** Guards against a second copy of a refusal that is taken for the response to the next attempt at the same target. */
test('a late copy of a refusal is not the response to a second attempt at the same target', async () => {
	const refusal = 'HTTP/1.1 503 Refused\r\nRequest-Id: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n';
	const written: Duplex[] = [];
	const agent = new ScriptedAgent(connection => {
		written.push(connection);
		written[0]!.push(refusal);
	});
	const first = await (await startAttemptWith(agent, 1)).outcome;
	await new Promise(resolve => setImmediate(resolve));
	const second = await startAttemptWith(agent, 2);
	while (written.length < 2) {
		await new Promise(resolve => setImmediate(resolve));
	}
	written[1]!.push('HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n');
	assert.deepEqual([first.type, (await second.outcome).type], ['not-run', 'answer']);
});
