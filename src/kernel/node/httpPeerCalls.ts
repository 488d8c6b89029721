/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Peer calls over HTTP/1.1 with MessagePack bodies. On small machines they are used instead of gRPC and HTTP/2, which need
 * more memory and start more slowly (docs/design/platform.md).
 */

import {
	Agent,
	createServer,
	type IncomingMessage,
	type Server,
	request as httpRequest,
	type ServerResponse
} from 'node:http';
import { Disposable, toDisposable } from '../../base/disposable.js';
import { IBodyAccount } from '../common/bodyAccount.js';
import type { IPeerCalls } from '../common/peerCalls.js';
import type { UnaryMethod } from '../common/peerMethods.js';
import { BodyBuffer } from './bodyBuffer.js';
import { ConnectionLimit } from './connectionLimit.js';
import type { InstanceSettings } from './instanceSettings.js';
import { listenWhenFree } from './listenWhenFree.js';
import { ILogService } from './logService.js';
import { decodeMessage, type EncodedMessage, encodeMessage, MAX_MESSAGE_BYTES } from './messageCodec.js';
import { PacedMessage } from './pacedMessage.js';
import type { IPeerRequests, PeerRequestHandler } from './peerRequests.js';
import { paceReads } from './readPacer.js';
import { ISettingsService } from './settingsService.js';

const MAX_IDLE_SOCKETS = 8;
/** Requests of callers come with their headers, and with some of this system. */
const MAX_HEADER_BYTES = 128 * 1024;
/** Less than {@link SERVER_KEEP_ALIVE_TIMEOUT_MS}, so that no call is sent on a connection that the server is closing. */
const CLIENT_IDLE_TIMEOUT_MS = 20000;
const SERVER_KEEP_ALIVE_TIMEOUT_MS = 30000;
/** Less than what the descriptors of a small machine leave beside the other listeners. */
const MAX_CONNECTIONS = 700;
/** Peers connect when they have a call to send, so its headers follow at once. */
const HEADERS_TIMEOUT_MS = 5000;
const CONNECTION_CHECK_INTERVAL_MS = 1000;
/** Senders give up a call, and with it its message, before that. */
const MESSAGE_TIMEOUT_MS = 10000;
const STATUS_OK = 200;
const STATUS_UNKNOWN_METHOD = 404;
const STATUS_FAILED = 500;

type CallHandler = (request: unknown) => Promise<unknown>;

/** A peer call failed: an error response, a lost connection, a timeout or a malformed response. */
export class PeerCallError extends Error {
	constructor(path: string, address: string, reason: string) {
		super(`${path} at ${address}: ${reason}`);
		this.name = 'PeerCallError';
	}
}

/**
 * Reads a body. Destroys a message that exceeds the size limit, takes too long or gives up its memory for others, and does not call
 * `onBody` for one that is incomplete.
 */
function readMessageBody(message: IncomingMessage, account: IBodyAccount, onBody: (body: Buffer) => void): void {
	const body = new BodyBuffer(account, MAX_MESSAGE_BYTES, () => message.destroy());
	const timer = setTimeout(() => message.destroy(), MESSAGE_TIMEOUT_MS);
	message.on('data', (chunk: Buffer) => {
		account.recordGarbage(chunk.length);
		try {
			body.append(chunk);
		} catch (error) {
			message.destroy(error as Error);
		}
	});
	message.on('end', () => {
		if (message.complete) {
			onBody(body.take());
		}
	});
	message.on('close', () => {
		clearTimeout(timer);
		body.release();
	});
}

function sendText(response: ServerResponse, status: number, text: string): void {
	if (!response.destroyed) {
		response.writeHead(status, { 'Content-Length': Buffer.byteLength(text) });
		response.end(text);
	}
}

/** Serves and makes peer calls, and serves streamed requests, with `node:http`. */
export class HttpPeerCalls extends Disposable implements IPeerCalls, IPeerRequests {
	private readonly _handlers = new Map<string, CallHandler>();
	private readonly _requestHandlers = new Map<string, PeerRequestHandler>();
	private readonly _agent = new Agent({
		keepAlive: true,
		maxFreeSockets: MAX_IDLE_SOCKETS,
		timeout: CLIENT_IDLE_TIMEOUT_MS
	});
	private readonly _server: Server = createServer({
		IncomingMessage: PacedMessage,
		keepAliveTimeout: SERVER_KEEP_ALIVE_TIMEOUT_MS,
		headersTimeout: HEADERS_TIMEOUT_MS,
		connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
		requestTimeout: 0,
		maxHeaderSize: MAX_HEADER_BYTES
	});
	private readonly _listenAddress: string;

	constructor(
		@ISettingsService settings: ISettingsService,
		@ILogService private readonly _log: ILogService,
		@IBodyAccount private readonly _bodyAccount: IBodyAccount
	) {
		super();
		this._listenAddress = settings.section<InstanceSettings>('instance').peerAddress;
		new ConnectionLimit(this._server, MAX_CONNECTIONS);
		paceReads(this._server);
		this._server.on('request', (request, response) => this._onRequest(request, response));
		this._register(toDisposable(() => this._server.closeAllConnections()));
		this._register(toDisposable(() => this._server.close()));
		this._register(toDisposable(() => this._agent.destroy()));
	}

	handleUnary<Q, S>(method: UnaryMethod<Q, S>, handler: (request: Q) => Promise<S>): void {
		this._handlers.set(method.path, handler as CallHandler);
	}

	handleRequests(pathPrefix: string, handler: PeerRequestHandler): void {
		this._requestHandlers.set(pathPrefix, handler);
	}

	listen(): Promise<string> {
		return listenWhenFree(this._server, this._listenAddress, error =>
			this._log.error('peer listener failed', { task: 'peers', error: error.message })
		);
	}

	call<Q, S>(address: string, method: UnaryMethod<Q, S>, request: Q, timeoutMs: number): Promise<S> {
		const [host, port] = address.split(':');
		const { path } = method;
		return new Promise<S>((resolve, reject) => {
			const { body, headers } = encodeMessage(request);
			const clientRequest = httpRequest({ agent: this._agent, method: 'POST', host, port, path, headers });
			const timer = setTimeout(() => {
				reject(new PeerCallError(path, address, `no response within ${timeoutMs} ms`));
				clientRequest.destroy();
			}, timeoutMs);
			const fail = (reason: string): void => {
				clearTimeout(timer);
				reject(new PeerCallError(path, address, reason));
			};
			clientRequest.on('error', error => fail(error.message));
			clientRequest.on('close', () => fail('connection closed before the response was complete'));
			clientRequest.on('response', response => {
				response.on('error', error => fail(error.message));
				readMessageBody(response, this._bodyAccount, responseBody => {
					if (response.statusCode !== STATUS_OK) {
						fail(`${response.statusCode} ${responseBody.toString('utf8')}`);
						return;
					}
					clearTimeout(timer);
					try {
						resolve(decodeMessage(responseBody, response.headers['content-encoding']) as S);
					} catch (error) {
						fail(`malformed response: ${(error as Error).message}`);
					}
				});
			});
			clientRequest.end(body);
		});
	}

	private _onRequest(request: IncomingMessage, response: ServerResponse): void {
		request.on('error', () => response.destroy());
		for (const [pathPrefix, handler] of this._requestHandlers) {
			if (request.url?.startsWith(`${pathPrefix}/`)) {
				handler(request, response);
				return;
			}
		}
		readMessageBody(request, this._bodyAccount, body => void this._handleCall(request, body, response));
	}

	private async _handleCall(request: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> {
		const handler = this._handlers.get(request.url ?? '');
		if (!handler) {
			sendText(response, STATUS_UNKNOWN_METHOD, 'unknown method');
			return;
		}
		let encodedResponse: EncodedMessage;
		try {
			encodedResponse = encodeMessage(await handler(decodeMessage(body, request.headers['content-encoding'])));
		} catch (error) {
			sendText(response, STATUS_FAILED, (error as Error).message);
			return;
		}
		if (!response.destroyed) {
			response.writeHead(STATUS_OK, encodedResponse.headers);
			response.end(encodedResponse.body);
		}
	}
}
