/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The HTTP exchange with a caller: its request, how long it waits, and the response that it gets. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';
import { type Millis, systemClock } from '../../../base/clock.js';
import { RefusalReason, type Verdict } from '../../../base/verdict.js';
import type { ICallerRequest } from '../../connections/common/callerConnections.js';
import { digestKey } from '../../routes/common/teamIndex.js';
import type { RawHeaders, TargetResponse } from '../common/attempt.js';
import type { IHeaderNames } from '../common/headerNames.js';
import { cookieValue, endToEndHeaders, forEachHeader } from '../common/hopByHopHeaders.js';
import { RELAY_REVISION_HEADER, RELAY_UNFRAMED_HEADER } from '../common/relayHeaders.js';
import type { LinkScheduler } from './linkScheduler.js';
import { PacedBody } from './pacedBody.js';

const STATUS_BAD_GATEWAY = 502;
const VERDICT_HEADER = 'Shelffield-Verdict';
const NO_HEADERS: ReadonlySet<string> = new Set();
const CONTENT_LENGTH: ReadonlySet<string> = new Set(['content-length']);
const RELAY_HEADERS: ReadonlySet<string> = new Set([RELAY_REVISION_HEADER, RELAY_UNFRAMED_HEADER]);

/** A response made by this instance rather than by a target. */
export interface LocalResponse {
	readonly status: number;
	readonly verdict: Verdict;
	readonly reason: RefusalReason | 'no-route';
	readonly retryAfterMs?: Millis;
	/** Whether the connection is closed after it, rather than the rest of the request being read. */
	readonly closesConnection?: boolean;
}

/** Response to a request that may have run and has no response that the caller could get. */
const FAILED_RESPONSE: LocalResponse = {
	status: STATUS_BAD_GATEWAY,
	verdict: 'may-have-run',
	reason: RefusalReason.TargetFailed
};

/** Why a response broke off. */
export enum TruncationCause {
	/** The caller did not read, so that the target had to wait. */
	Unread = 'unread',
	/** Its time was over. */
	Deadline = 'deadline',
	/** Any other reason of the target or its connection. */
	Target = 'target'
}

function hasContentLength(rawHeaders: RawHeaders): boolean {
	let isFound = false;
	forEachHeader(rawHeaders, lower => (isFound ||= lower === 'content-length'));
	return isFound;
}

/** One request of a caller and its response. */
export class CallerExchange {
	readonly request: IncomingMessage;
	/** On the monotonic clock. */
	readonly arrivedAt: Millis;
	/** How long it may have waited until it was taken up. */
	readonly waitedMs: Millis;
	readonly requestId: string;
	/** How long the caller waits from `arrivedAt`, by its request header; infinite if it gives none. */
	readonly remainingMs: Millis;
	readonly objectKey: string | undefined;
	/** Digest of the API key that the caller sent; undefined for a missing or empty one. */
	readonly keyDigest: string | undefined;
	private _disconnectHandler: (() => void) | undefined;
	private _isDisconnected = false;
	private _closeHandler: (() => void) | undefined;
	private _truncationHandler: ((cause: TruncationCause) => void) | undefined;
	private readonly _response: ServerResponse;

	constructor(
		private readonly _callerRequest: ICallerRequest,
		names: IHeaderNames,
		private readonly _linkScheduler: LinkScheduler
	) {
		const { request, response, arrivedAt } = _callerRequest;
		this.request = request;
		this.arrivedAt = arrivedAt;
		this.waitedMs = systemClock.now() - arrivedAt;
		this._response = response;
		const remaining = Number(request.headers[names.remainingMs] ?? Number.NaN);
		this.requestId = String(request.headers[names.requestId] ?? '');
		this.remainingMs = Number.isFinite(remaining) ? remaining : Number.POSITIVE_INFINITY;
		this.objectKey = cookieValue(request.rawHeaders, names.objectCookie);
		const key = request.headers[names.teamKey];
		this.keyDigest = typeof key === 'string' && key !== '' ? digestKey(key) : undefined;
		_callerRequest.setCloseHandler(isComplete => this._onClose(isComplete));
	}

	/** The Host header as the caller sent it; empty for none. */
	get host(): string {
		return this.request.headers.host ?? '';
	}

	/** Path and query string. */
	get path(): string {
		return this.request.url ?? '/';
	}

	/** Whether the connection closed before the caller had the whole response. */
	get isDisconnected(): boolean {
		return this._isDisconnected;
	}

	/** Sets the callback for a caller that disconnects, called at once if it already has; replaces the previous one. */
	setDisconnectHandler(callback: (() => void) | undefined): void {
		this._disconnectHandler = callback;
		if (this._isDisconnected) {
			callback?.();
		}
	}

	/** Sets the callback for the end of the exchange: the response is sent, or the caller disconnected; replaces the previous one. */
	setCloseHandler(callback: () => void): void {
		this._closeHandler = callback;
	}

	/** Sets the callback for a response that broke off after its beginning was forwarded. */
	setTruncationHandler(callback: (cause: TruncationCause) => void): void {
		this._truncationHandler = callback;
	}

	/** Sends a response made by this instance; does nothing once the caller has disconnected. */
	sendLocalResponse(response: LocalResponse): void {
		if (this._isDisconnected) {
			return;
		}
		const { verdict, reason, retryAfterMs } = response;
		const body = JSON.stringify({ verdict, reason, retryAfterMs, requestId: this.requestId });
		this._response.statusCode = response.status;
		this._response.setHeader('Content-Type', 'application/json');
		this._response.setHeader(VERDICT_HEADER, verdict);
		if (retryAfterMs !== undefined) {
			this._response.setHeader('Retry-After', (retryAfterMs / 1000).toFixed(2));
		}
		this._response.setHeader('Content-Length', Buffer.byteLength(body));
		if (this._callerRequest.closesConnection) {
			this._response.setHeader('Connection', 'close');
		}
		this._response.end(body);
	}

	/**
	 * Forwards a target's response. When it is truncated on the way, or not complete at the deadline, the caller's connection is closed.
	 * @param deadline on the monotonic clock
	 */
	forwardResponse(response: TargetResponse, deadline: Millis): void {
		this._forward(response, deadline, NO_HEADERS, [VERDICT_HEADER, 'ran']);
	}

	/** As {@link forwardResponse}, for the response of the entry instance that the request was relayed to, which states its verdict itself. */
	forwardRelayedResponse(response: TargetResponse, deadline: Millis): void {
		this._forward(response, deadline, RELAY_HEADERS, []);
	}

	/**
	 * @param dropped names in lower case of headers that the caller does not get
	 * @param added headers of this instance
	 */
	private _forward(
		response: TargetResponse,
		deadline: Millis,
		dropped: ReadonlySet<string>,
		added: readonly string[]
	): void {
		if (this._isDisconnected) {
			response.remainingBody?.destroy();
			return;
		}
		const isUnframed = this._isUnframed(response);
		if (isUnframed && !this._callerRequest.tryBeginUnframed()) {
			response.remainingBody?.destroy();
			this.sendLocalResponse(FAILED_RESPONSE);
			return;
		}
		this._writeHead(response, isUnframed, dropped, added);
		if (!response.remainingBody) {
			this._response.end(response.body);
			return;
		}
		this._streamBody(response.body, response.remainingBody, isUnframed, deadline);
	}

	/** Whether only the end of the connection tells the caller where the response ends: versions other than HTTP/1.1 get no chunks. */
	private _isUnframed({ endsWithConnection, remainingBody, rawHeaders }: TargetResponse): boolean {
		const needsChunks = remainingBody !== undefined && !hasContentLength(rawHeaders);
		return endsWithConnection || (needsChunks && !this._response.useChunkedEncodingByDefault);
	}

	/** Refuses the request before its body was received; a body that does not fit ends the connection rather than being read. */
	refuse(response: LocalResponse): void {
		if (response.closesConnection) {
			this._callerRequest.tryCloseConnection();
		}
		this.sendLocalResponse(response);
	}

	/** Closes the connection of a request that cannot be completed, as if its caller had left; promises nothing. */
	abandon(): void {
		this._callerRequest.abort(false);
	}

	/** Ends the exchange after an internal error: with a response where none was begun, otherwise by closing the connection. */
	fail(): void {
		if (this._response.headersSent) {
			this._callerRequest.abort(true);
		} else {
			this.sendLocalResponse(FAILED_RESPONSE);
		}
	}

	/** Streams a body that is not buffered whole, at the rate that the link scheduler allows. */
	private _streamBody(body: Buffer, remainingBody: Readable, isUnframed: boolean, deadline: Millis): void {
		const paced = new PacedBody(this._linkScheduler);
		const abort = (cause: TruncationCause): void => {
			if (paced.destroyed) {
				return;
			}
			this._truncationHandler?.(cause);
			paced.destroy();
			remainingBody.destroy();
			this._callerRequest.abort(isUnframed);
		};
		const onTruncated = (): void => {
			const isUnread = paced.readableLength > 0 && this._response.writableNeedDrain;
			abort(isUnread ? TruncationCause.Unread : TruncationCause.Target);
		};
		const timer = setTimeout(() => abort(TruncationCause.Deadline), Math.max(0, deadline - systemClock.now()));
		paced.once('close', () => clearTimeout(timer));
		this.setDisconnectHandler(() => {
			remainingBody.destroy();
			paced.destroy();
		});
		remainingBody.on('error', onTruncated);
		remainingBody.on('close', () => {
			if (!remainingBody.readableEnded) {
				onTruncated();
			}
		});
		paced.write(body);
		remainingBody.pipe(paced).pipe(this._response);
	}

	private _writeHead(
		response: TargetResponse,
		isUnframed: boolean,
		dropped: ReadonlySet<string>,
		added: readonly string[]
	): void {
		const isHeadRequest = this.request.method === 'HEAD';
		const isBuffered = response.remainingBody === undefined && !isUnframed && !isHeadRequest;
		const headers = endToEndHeaders(
			response.rawHeaders,
			isBuffered ? new Set([...CONTENT_LENGTH, ...dropped]) : dropped
		);
		if (isBuffered) {
			headers.push('Content-Length', String(response.body.length));
		}
		if (isUnframed || this._callerRequest.closesConnection) {
			headers.push('Connection', 'close');
		}
		headers.push(...added);
		this._response.writeHead(response.status, headers);
	}

	private _onClose(isComplete: boolean): void {
		this._closeHandler?.();
		if (isComplete) {
			return;
		}
		this._isDisconnected = true;
		this._disconnectHandler?.();
	}
}
