/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A target that answers with given bytes and closes the connection, and attempts at it. */

import { type AddressInfo, createServer, type Socket } from 'node:net';
import { BodyAccount } from '../../../kernel/common/bodyAccount.js';
import type { AttemptOutcome } from '../common/attempt.js';
import type { IHeaderNames } from '../common/headerNames.js';
import { RequestBody } from '../node/requestBody.js';
import { TargetExchange } from '../node/targetExchange.js';
import { TargetAgent } from '../node/targets/targetAgent.js';

const NAMES = { requestId: 'request-id', notRun: 'not-run' } as unknown as IHeaderNames;
const MEMORY_MB = 256;

/** Answers each request with status 200 and what follows the headers that it needs. */
export class RawTarget {
	private readonly _agent = new TargetAgent();
	private readonly _sockets = new Set<Socket>();
	private _response = '';
	private readonly _server = createServer(socket => this._serve(socket));

	listen(): Promise<void> {
		return new Promise(resolve => this._server.listen(0, '127.0.0.1', resolve));
	}

	close(): void {
		this._agent.destroy();
		this._server.close();
		this._sockets.forEach(socket => socket.destroy());
	}

	/** @param response further headers of the response, the blank line and the body */
	async attempt(method: string, response: string): Promise<AttemptOutcome> {
		this._response = response;
		const body = await RequestBody.read({ headers: {} } as never, new BodyAccount(MEMORY_MB));
		const exchange = new TargetExchange(this._agent, NAMES, {
			attemptAtAddress: 1,
			requestId: 'a',
			targetId: 't',
			host: '127.0.0.1',
			port: (this._server.address() as AddressInfo).port,
			method,
			path: '/',
			rawHeaders: ['Host', 'a', 'Request-Id', 'a'],
			body,
			connectTimeoutMs: 5000,
			maxBufferedBytes: 64 * 1024,
			onTargetReport: () => undefined,
			onWritten: () => undefined
		});
		return exchange.outcome;
	}

	private _serve(socket: Socket): void {
		this._sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', () => socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: a\r\nConnection: close\r\n${this._response}`));
	}
}
