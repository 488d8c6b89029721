/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which lost connections count as a stopped target, and which requests have the same identity. */

import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:net';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { systemClock } from '../../../base/clock.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import { MetricsService } from '../../../kernel/node/metricsService.js';
import { TargetPhase, type TargetRecord } from '../../fleet/common/fleetTypes.js';
import type { IFleetSession } from '../../fleet/common/fleetSession.js';
import { QuarantineView } from '../../fleet/common/quarantineView.js';
import { QuarantinePhase, type ObservedLostRun } from '../../fleet/common/quarantineTypes.js';
import { AbandonedRunStatistics } from '../common/abandonedRunStatistics.js';
import { ResponseFailureCause, type TargetResponse } from '../common/attempt.js';
import type { CallerExchange } from '../node/callerExchange.js';
import type { RequestContext } from '../node/requestContext.js';
import { LostRunDetector } from '../node/lostRunDetector.js';
import { QuarantineGuard } from '../node/quarantineGuard.js';
import { identityOf } from '../node/requestDigest.js';
import type { RequestBody } from '../node/requestBody.js';

interface RequestFields {
	readonly method?: string;
	readonly host?: string;
	readonly path?: string;
	readonly keyDigest?: string;
	readonly body?: string;
}

function exchangeOf({
	method = 'GET',
	host = 'shop.example',
	path = '/read/1',
	keyDigest
}: RequestFields): CallerExchange {
	return { request: { method, headers: {} }, host, path, keyDigest, requestId: 'r-1' } as unknown as CallerExchange;
}

function bodyOf({ body = '' }: RequestFields): RequestBody {
	return { prefix: Buffer.from(body), bufferedLength: body.length } as unknown as RequestBody;
}

function digestOf(fields: RequestFields): string {
	return identityOf(contextOf(fields)).digest;
}

function contextOf(fields: RequestFields): RequestContext {
	const state = { phase: QuarantinePhase.Clear, attempts: [] };
	return { exchange: exchangeOf(fields), body: bodyOf(fields), ...state } as unknown as RequestContext;
}

/** Listens on the loopback interface; resolves with the address. */
function listen(server: Server): Promise<string> {
	return new Promise(resolve =>
		server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${(server.address() as { port: number }).port}`))
	);
}

function targetAt(address: string): TargetRecord {
	const description = { id: 'i-1', bornAt: 0, service: 's', address, hall: 'h', version: 'v1', slots: 4 };
	return { ...description, phase: TargetPhase.Serving, changedAt: 1, pacedSenders: [] };
}

/** Runs that are reported as lost after attempts that broke for these causes. */
async function lostAt(address: string, causes: readonly ResponseFailureCause[]): Promise<readonly ObservedLostRun[]> {
	const detector = new LostRunDetector(new MetricsService(), { warn: () => undefined } as unknown as ILogService);
	const lost: ObservedLostRun[] = [];
	detector.onDidLose(run => lost.push(run));
	causes.forEach(cause =>
		detector.recordAttempt(contextOf({}), targetAt(address), { type: 'broken', cause }, systemClock.now() - 5)
	);
	await delay(100);
	return lost;
}

test('a running target that resets connections causes no lost run', async () => {
	const server = createServer(socket => socket.destroy());
	const address = await listen(server);
	assert.deepEqual(
		await lostAt(address, [ResponseFailureCause.ConnectionLost, ResponseFailureCause.ResponseTruncated]),
		[]
	);
	server.close();
});

test('runs with lost connections are lost runs if the target refuses a new connection; garbled or mismatched responses are not', async () => {
	const server = createServer();
	const address = await listen(server);
	await new Promise(resolve => server.close(resolve));
	const { ConnectionLost, ResponseTruncated, MalformedResponse, ResponseMismatch } = ResponseFailureCause;
	const lost = await lostAt(address, [ConnectionLost, MalformedResponse, ResponseMismatch, ResponseTruncated]);
	assert.deepEqual(
		lost.map(({ requestId, targetId }) => [requestId, targetId]),
		[
			['r-1', 'i-1'],
			['r-1', 'i-1']
		]
	);
	assert.ok(lost[0]!.endedAt >= lost[0]!.sentAt + 5);
});

/** Runs that are reported as lost after attempts that were abandoned while their target ran, and stopped some time after. */
async function lostAfterAbandoning(runningMs: number, attempts: number): Promise<readonly ObservedLostRun[]> {
	const server = createServer(socket => socket.destroy());
	const target = targetAt(await listen(server));
	const detector = new LostRunDetector(new MetricsService(), { warn: () => undefined } as unknown as ILogService);
	const lost: ObservedLostRun[] = [];
	detector.onDidLose(run => lost.push(run));
	for (let i = 0; i < attempts; i++) {
		detector.recordAttempt(contextOf({}), target, { type: 'abandoned', mayHaveRun: true }, systemClock.now() - 5);
	}
	await delay(runningMs);
	await new Promise(resolve => server.close(resolve));
	await delay(900);
	detector.dispose();
	return lost;
}

test('an abandoned run is a lost run if its target refuses connections soon after', async () => {
	const lost = await lostAfterAbandoning(100, 1);
	assert.deepEqual(
		lost.map(({ requestId, targetId }) => [requestId, targetId]),
		[['r-1', 'i-1']]
	);
	const { sentAt, runningAt, endedAt } = lost[0]!;
	assert.ok(sentAt < runningAt! && runningAt! < endedAt);
});

test('an abandoned run that was never written, or whose target runs on for long, is no lost run', async () => {
	assert.deepEqual(await lostAfterAbandoning(2200, 1), []);
	const detector = new LostRunDetector(new MetricsService(), { warn: () => undefined } as unknown as ILogService);
	const lost: ObservedLostRun[] = [];
	detector.onDidLose(run => lost.push(run));
	const target = targetAt('127.0.0.1:9');
	detector.recordAttempt(contextOf({}), target, { type: 'abandoned', mayHaveRun: false }, systemClock.now());
	await delay(600);
	assert.deepEqual(lost, []);
});

test('a run is a lost run if its target stops while the rest of its response is streamed', async () => {
	const server = createServer();
	const target = targetAt(await listen(server));
	await new Promise(resolve => server.close(resolve));
	const detector = new LostRunDetector(new MetricsService(), { warn: () => undefined } as unknown as ILogService);
	const lost: ObservedLostRun[] = [];
	detector.onDidLose(run => lost.push(run));
	const [truncated, complete] = [new PassThrough(), new PassThrough()];
	for (const remainingBody of [truncated, complete]) {
		const answer = { type: 'answer', status: 200, remainingBody } as unknown as TargetResponse;
		detector.recordAttempt(contextOf({}), target, answer, systemClock.now());
	}
	truncated.destroy();
	complete.resume().end('the rest');
	await delay(100);
	assert.equal(lost.length, 1);
});

test('an answer clears a request only when the whole of it has arrived', async () => {
	const answered: string[] = [];
	const quarantine = new QuarantineView();
	const runs = [1, 2].map(i => ({ requestId: `r-${i}`, targetId: `t-${i}` }));
	quarantine.apply({ revision: 1, records: [{ ...identityOf(contextOf({})), team: '', runs }] });
	const session = { view: { quarantine }, ageMs: () => 0, reportAnswer: (digest: string) => answered.push(digest) };
	const detector = new LostRunDetector(new MetricsService(), { warn: () => undefined } as unknown as ILogService);
	const guard = new QuarantineGuard(session as unknown as IFleetSession, detector);
	const remainingBody = new PassThrough();
	guard.recordOutcome(contextOf({}), { type: 'answer', status: 200, remainingBody } as unknown as TargetResponse);
	assert.equal(answered.length, 0);
	remainingBody.resume().end('the rest');
	await delay(20);
	assert.equal(answered.length, 1);
});

test('a request is suspicious while its abandoned runs stop as many targets as they leave running', () => {
	const statistics = new AbandonedRunStatistics();
	statistics.recordLost('d', false, 0);
	statistics.recordSurvived('d', 100);
	assert.equal(statistics.isSuspicious('d'), true);
	statistics.recordSurvived('d', 200);
	assert.equal(statistics.isSuspicious('d'), false);
	statistics.recordLost('d', true, 300);
	assert.equal(statistics.isSuspicious('d'), true);
});

test('the identity of a streamed request does not depend on how its body was split into chunks', () => {
	const body = 'x'.repeat(100 * 1024);
	const digests = [64 * 1024 + 1, 80 * 1024, 100 * 1024].map(length => {
		const streamed = { prefix: Buffer.from(body.slice(0, length)), bufferedLength: undefined };
		return identityOf({ ...contextOf({}), body: streamed } as unknown as RequestContext).digest;
	});
	assert.equal(new Set(digests).size, 1);
});

test('the identity of a request depends on API key, method, host, path and body', () => {
	const fields = { method: 'POST', path: '/order/1?a=b', keyDigest: 'k', body: 'two units' };
	assert.equal(digestOf(fields), digestOf({ ...fields, host: 'SHOP.example' }));
	const others = [
		{ ...fields, method: 'PUT' },
		{ ...fields, host: 'other.example' },
		{ ...fields, path: '/order/1' },
		{ ...fields, keyDigest: 'l' },
		{ ...fields, keyDigest: undefined },
		{ ...fields, body: 'two unit' },
		{ ...fields, path: '/order/1?a=btwo', body: ' units' }
	];
	assert.equal(new Set([fields, ...others].map(digestOf)).size, others.length + 1);
});
