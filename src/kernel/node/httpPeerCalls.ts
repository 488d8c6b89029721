/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Calls between processes over HTTP/1.1 of Node.js with MessagePack bodies, for machines on which memory and start time
 * are dear: gRPC and its kin HTTP/2 of Node.js were measured and left (docs/design/platform.md).
 */

import { Agent, createServer, type IncomingMessage, request as httpRequest, type ServerResponse } from 'node:http';
import { decode, encode } from '@msgpack/msgpack';
import { Disposable, toDisposable } from '../../base/disposable.js';
import type { IPeerCalls } from '../common/peerCalls.js';
import type { UnaryMethod } from '../common/peerMethods.js';
import type { InstanceSettings } from './instanceSettings.js';
import { ISettingsService } from './settingsService.js';

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
const MAX_IDLE_SOCKETS = 8;
/** A connection that rested this long is closed by the caller, well before the other side does. */
const CALLER_IDLE_MS = 20000;
const SERVER_IDLE_MS = 60000;
const STATUS_OK = 200;
const STATUS_UNKNOWN_METHOD = 404;
const STATUS_FAILED = 500;

type Handler = (request: unknown) => Promise<unknown>;

/** A peer answered that the call failed. */
export class PeerCallError extends Error {
	constructor(path: string, address: string, what: string) {
		super(`${path} at ${address}: ${what}`);
		this.name = 'PeerCallError';
	}
}

function encodeMessage(message: unknown): Buffer {
	const bytes = encode(message, { ignoreUndefined: true });
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function readAll(message: IncomingMessage, done: (body: Buffer) => void): void {
	const pieces: Buffer[] = [];
	let size = 0;
	message.on('data', (piece: Buffer) => {
		size += piece.length;
		if (size > MAX_MESSAGE_BYTES) {
			message.destroy();
			return;
		}
		pieces.push(piece);
	});
	message.on('end', () => {
		if (message.complete) {
			done(pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces));
		}
	});
}

/** Peer calls over `node:http`. */
export class HttpPeerCalls extends Disposable implements IPeerCalls {
	private readonly _handlers = new Map<string, Handler>();
	private readonly _agent = new Agent({ keepAlive: true, maxFreeSockets: MAX_IDLE_SOCKETS, timeout: CALLER_IDLE_MS });
	private readonly _server = createServer({ keepAliveTimeout: SERVER_IDLE_MS });
	private readonly _listenAddress: string;

	constructor(@ISettingsService settings: ISettingsService) {
		super();
		this._listenAddress = settings.section<InstanceSettings>('instance').peerAddress;
		this._server.requestTimeout = 0;
		this._server.on('request', (request, response) => this._serve(request, response));
		this._register(toDisposable(() => this._server.closeAllConnections()));
		this._register(toDisposable(() => this._server.close()));
		this._register(toDisposable(() => this._agent.destroy()));
	}

	handleUnary<Q, S>(method: UnaryMethod<Q, S>, handler: (request: Q) => Promise<S>): void {
		this._handlers.set(method.path, handler as Handler);
	}

	async listen(): Promise<string> {
		const [host, port] = this._listenAddress.split(':');
		await new Promise<void>((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(Number(port), host, () => resolve());
		});
		const bound = this._server.address() as { port: number };
		return `${host}:${bound.port}`;
	}

	call<Q, S>(address: string, method: UnaryMethod<Q, S>, request: Q, timeoutMs: number): Promise<S> {
		const [host, port] = address.split(':');
		const { path } = method;
		return new Promise<S>((resolve, reject) => {
			const body = encodeMessage(request);
			const headers = { 'Content-Length': String(body.length) };
			const sent = httpRequest({ agent: this._agent, method: 'POST', host, port, path, headers });
			const timer = setTimeout(() => {
				reject(new PeerCallError(path, address, `no answer within ${timeoutMs} ms`));
				sent.destroy();
			}, timeoutMs);
			const fail = (what: string): void => {
				clearTimeout(timer);
				reject(new PeerCallError(path, address, what));
			};
			sent.on('error', error => fail(error.message));
			sent.on('close', () => fail('cut off'));
			sent.on('response', response => {
				response.on('error', error => fail(error.message));
				readAll(response, answer => {
					clearTimeout(timer);
					if (response.statusCode === STATUS_OK) {
						resolve(decode(answer) as S);
					} else {
						fail(`${response.statusCode} ${answer.toString('utf8')}`);
					}
				});
			});
			sent.end(body);
		});
	}

	private _serve(request: IncomingMessage, response: ServerResponse): void {
		request.on('error', () => response.destroy());
		readAll(request, body => void this._answer(request.url ?? '', body, response));
	}

	private async _answer(path: string, body: Buffer, response: ServerResponse): Promise<void> {
		const handler = this._handlers.get(path);
		let status = STATUS_OK;
		let answer: Buffer;
		try {
			answer = handler ? encodeMessage(await handler(decode(body))) : Buffer.from('unknown method');
			status = handler ? STATUS_OK : STATUS_UNKNOWN_METHOD;
		} catch (error) {
			status = STATUS_FAILED;
			answer = Buffer.from((error as Error).message);
		}
		if (!response.destroyed) {
			response.writeHead(status, { 'Content-Length': answer.length });
			response.end(answer);
		}
	}
}
