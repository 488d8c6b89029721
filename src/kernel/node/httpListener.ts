/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** HTTP listeners based on `polka`, with limits and the endpoints that all listeners have: `/healthz`, `/readyz` and `/metrics`. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import { readFileSync } from 'node:fs';
import polka from 'polka';
import { Disposable, toDisposable } from '../../base/disposable.js';
import type { IEventLoopMonitor } from '../common/eventLoopMonitor.js';
import { ArrivalTimes } from './arrivalTimes.js';
import { closeUnlessComplete } from './closeUnlessComplete.js';
import { ConnectionLimit } from './connectionLimit.js';
import { ConnectionTracker } from './connectionTracker.js';
import type { IMetricsService } from './metricsService.js';
import { listenWhenFree } from './listenWhenFree.js';
import { PacedMessage } from './pacedMessage.js';
import { paceReads } from './readPacer.js';
import { BodyEvictedError } from './bodyEvictedError.js';
import { BodyTooLargeError } from './bodyTooLargeError.js';

const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10000;
const REQUEST_TIMEOUT_MS = 60000;
const KEEP_ALIVE_TIMEOUT_MS = 30000;
const DRAIN_POLL_MS = 50;
const CONNECTION_CHECK_INTERVAL_MS = 1000;
/** How long a connection stays half closed, so that its client can read why. */
const LINGER_MS = 1000;
/** Value of `Retry-After` for a request whose body gave up its memory. */
const EVICTED_RETRY_AFTER_SECONDS = 1;

/** A parsed request. */
export type HttpRequest = polka.Request;
/** The response to a request. */
export type HttpResponse = ServerResponse;
/**
 * Handles a request. `BodyTooLargeError` results in status 413, `BodyEvictedError` in 503, any other error in 500; after the
 * headers are sent, an error closes the connection.
 */
export type HttpHandler = (request: HttpRequest, response: HttpResponse) => void | Promise<void>;

/** Paths of the PEM certificate and private key of a TLS listener. */
export interface TlsFiles {
	readonly certificateFile: string;
	readonly keyFile: string;
}

/** Options of a listener. */
export interface HttpListenerOptions {
	/** IPv4 address and port; port 0 lets the operating system choose one. */
	readonly address: string;
	readonly maxConnections: number;
	readonly metrics: IMetricsService;
	/** Whether the process accepts work; determines the response of `/readyz`. */
	isReady(): boolean;
	/** Called with the errors of handlers that result in status 500, and with those of the open listener. */
	onError(error: Error): void;
	readonly tls?: TlsFiles;
}

/** An HTTP or HTTPS listener. */
export class HttpListener extends Disposable {
	private readonly _server: Server;
	private readonly _connections: ConnectionTracker;
	private readonly _app: polka.Polka;
	private _inFlight = 0;
	private _isDraining = false;

	constructor(private readonly _options: HttpListenerOptions) {
		super();
		const limits = {
			IncomingMessage: PacedMessage,
			connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
			headersTimeout: HEADERS_TIMEOUT_MS,
			requestTimeout: REQUEST_TIMEOUT_MS,
			maxHeaderSize: MAX_HEADER_BYTES,
			keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS
		};
		const { tls } = _options;
		this._server = tls
			? createTlsServer({
					...limits,
					handshakeTimeout: HEADERS_TIMEOUT_MS,
					cert: readFileSync(tls.certificateFile),
					key: readFileSync(tls.keyFile)
				})
			: createServer(limits);
		this._connections = new ConnectionTracker(this._server);
		paceReads(this._server);
		if (tls) {
			this._server.maxConnections = _options.maxConnections;
		} else {
			new ConnectionLimit(this._server, _options.maxConnections);
		}
		this._server.on('request', (request, response) => this._trackRequest(request, response));
		this._server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			if (socket.writable) {
				socket.end(formatClientError(error));
				setTimeout(() => socket.destroy(), LINGER_MS);
			} else {
				socket.destroy();
			}
		});
		this._app = polka({
			server: this._server,
			onError: (error, _request, response) => this._sendError(response, error as Error),
			onNoMatch: (_request, response) => {
				sendJson(response, 404, { code: 'not-found', message: 'there is no such page', verdict: 'not-run' });
			}
		});
		this._addCommonEndpoints();
		this._register(toDisposable(() => this._server.close()));
		this._register(toDisposable(() => this._server.closeAllConnections()));
	}

	/** Registers the handler of one method and path pattern. */
	on(method: 'GET' | 'POST' | 'PUT' | 'DELETE', pattern: string, handler: HttpHandler): void {
		this._app.add(method, pattern, this._catchErrors(handler));
	}

	/** Registers the handler of a path pattern for all methods. */
	onAll(pattern: string, handler: HttpHandler): void {
		this._app.all(pattern, this._catchErrors(handler));
	}

	/** Tells from now on when requests arrived; to be called before {@link listen}, and not for a TLS listener. */
	recordArrivals(eventLoopMonitor: IEventLoopMonitor): ArrivalTimes {
		return new ArrivalTimes(this._server, eventLoopMonitor);
	}

	/** Starts listening once the address is free; resolves to the address with the actual port. */
	listen(): Promise<string> {
		this._server.on('request', this._app.handler);
		return listenWhenFree(this._server, this._options.address, error => this._options.onError(error));
	}

	/** Number of requests whose responses are not closed yet. */
	get inFlight(): number {
		return this._inFlight;
	}

	/** Stops accepting connections and resolves when all responses are closed. */
	async drain(): Promise<void> {
		this._isDraining = true;
		this._connections.stopAccepting();
		this._connections.closeIdle();
		while (this._inFlight > 0) {
			await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS));
			this._connections.closeIdle();
		}
	}

	private _addCommonEndpoints(): void {
		this.on('GET', '/healthz', (_request, response) => sendJson(response, 200, { healthy: true }));
		this.on('GET', '/readyz', (_request, response) => {
			const ready = this._options.isReady();
			sendJson(response, ready ? 200 : 503, { ready });
		});
		this.on('GET', '/metrics', async (_request, response) => {
			const { metrics } = this._options;
			response.setHeader('Content-Type', metrics.contentType);
			response.end(await metrics.render());
		});
	}

	private _trackRequest(request: IncomingMessage, response: ServerResponse): void {
		this._inFlight++;
		if (this._isDraining) {
			response.setHeader('Connection', 'close');
		}
		response.once('close', () => this._inFlight--);
		response.once('finish', () => closeUnlessComplete(request));
	}

	private _catchErrors(handler: HttpHandler) {
		return (request: unknown, response: unknown): void => {
			const httpResponse = response as HttpResponse;
			try {
				const result = handler(request as HttpRequest, httpResponse);
				if (result) {
					result.catch((error: Error) => this._sendError(httpResponse, error));
				}
			} catch (error) {
				this._sendError(httpResponse, error as Error);
			}
		};
	}

	private _sendError(response: HttpResponse, error: Error): void {
		if (response.headersSent) {
			response.destroy();
			return;
		}
		if (error instanceof BodyTooLargeError) {
			const allowed = `${error.limitBytes} bytes at most`;
			const body = { code: 'body-too-large', message: error.message, field: 'body', allowed, verdict: 'not-run' };
			response.setHeader('Connection', 'close');
			sendJson(response, 413, body);
			return;
		}
		if (error instanceof BodyEvictedError) {
			response.setHeader('Connection', 'close');
			response.setHeader('Retry-After', EVICTED_RETRY_AFTER_SECONDS);
			sendJson(response, 503, { code: 'body-evicted', message: error.message, verdict: 'not-run' });
			return;
		}
		this._options.onError(error);
		sendJson(response, 500, { code: 'internal', message: 'the request could not be handled', verdict: 'may-have-run' });
	}
}

/** Sends a response with a JSON body. */
export function sendJson(response: HttpResponse, status: number, body: unknown): void {
	const text = JSON.stringify(body);
	response.statusCode = status;
	response.setHeader('Content-Type', 'application/json');
	response.setHeader('Content-Length', Buffer.byteLength(text));
	response.end(text);
}

function formatClientError(error: NodeJS.ErrnoException): string {
	if (error.code === 'HPE_HEADER_OVERFLOW') {
		return formatRawResponse(
			'431 Request Header Fields Too Large',
			'headers-too-large',
			`${MAX_HEADER_BYTES} bytes at most`
		);
	}
	if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
		return formatRawResponse(
			'408 Request Timeout',
			'request-timeout',
			`the whole request within ${REQUEST_TIMEOUT_MS} ms`
		);
	}
	return formatRawResponse('400 Bad Request', 'bad-request', 'a request by HTTP/1.1');
}

function formatRawResponse(status: string, code: string, allowed: string): string {
	const body = JSON.stringify({
		code,
		message: `not a request that can be read; allowed: ${allowed}`,
		verdict: 'not-run'
	});
	const lines = [
		`HTTP/1.1 ${status}`,
		'Content-Type: application/json',
		'Shelffield-Verdict: not-run',
		'Connection: close',
		`Content-Length: ${Buffer.byteLength(body)}`,
		'',
		body
	];
	return lines.join('\r\n');
}
