/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Calls between processes over HTTP/1.1 of Node.js with MessagePack bodies, for machines on which memory and start time
 * are dear: gRPC and its kin HTTP/2 of Node.js were measured and left (docs/design/platform.md).
 */

import { Agent, createServer, type IncomingMessage, request as httpRequest, type ServerResponse } from 'node:http';
import { Disposable, toDisposable } from '../../base/disposable.js';
import type { IPeerCalls } from '../common/peerCalls.js';
import type { UnaryMethod } from '../common/peerMethods.js';
import type { InstanceSettings } from './instanceSettings.js';
import { decodeMessage, type EncodedMessage, encodeMessage, MAX_MESSAGE_BYTES } from './messageCoding.js';
import { ISettingsService } from './settingsService.js';

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

function sendText(response: ServerResponse, status: number, text: string): void {
	if (!response.destroyed) {
		response.writeHead(status, { 'Content-Length': Buffer.byteLength(text) });
		response.end(text);
	}
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
			const { body, headers } = encodeMessage(request);
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
					if (response.statusCode !== STATUS_OK) {
						fail(`${response.statusCode} ${answer.toString('utf8')}`);
						return;
					}
					clearTimeout(timer);
					try {
						resolve(decodeMessage(answer, response.headers['content-encoding']) as S);
					} catch (error) {
						fail(`unreadable answer: ${(error as Error).message}`);
					}
				});
			});
			sent.end(body);
		});
	}

	private _serve(request: IncomingMessage, response: ServerResponse): void {
		request.on('error', () => response.destroy());
		readAll(request, body => void this._answer(request, body, response));
	}

	private async _answer(request: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> {
		const handler = this._handlers.get(request.url ?? '');
		if (!handler) {
			sendText(response, STATUS_UNKNOWN_METHOD, 'unknown method');
			return;
		}
		let answer: EncodedMessage;
		try {
			answer = encodeMessage(await handler(decodeMessage(body, request.headers['content-encoding'])));
		} catch (error) {
			sendText(response, STATUS_FAILED, (error as Error).message);
			return;
		}
		if (!response.destroyed) {
			response.writeHead(STATUS_OK, answer.headers);
			response.end(answer.body);
		}
	}
}
