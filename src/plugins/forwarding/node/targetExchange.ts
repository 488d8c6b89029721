/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Sends one request to one target and determines the outcome. */

import { type ClientRequest, type IncomingMessage, request as httpRequest } from 'node:http';
import type { Socket } from 'node:net';
import { type Millis, systemClock } from '../../../base/clock.js';
import { takeReset } from '../../../kernel/node/connectionReset.js';
import { type AttemptOutcome, ResponseFailureCause, NotRunCause, type RawHeaders } from '../common/attempt.js';
import type { IHeaderNames } from '../common/headerNames.js';
import { refusalCause } from '../../placement/common/targets/targetRefusal.js';
import { parseTargetReport, type TargetReport } from '../../placement/common/targets/targetReport.js';
import type { RequestBody } from './requestBody.js';
import { ChunkList } from '../common/chunkList.js';
import { CoalescedBody } from './targets/coalescedBody.js';
import { ResponseReader } from './targets/responseReader.js';
import type { ConnectionOptions, TargetAgent } from './targets/targetAgent.js';

const STATUS_MISDIRECTED_REQUEST = 421;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;
const STATUS_SERVICE_UNAVAILABLE = 503;
const STATUS_TOO_MANY_REQUESTS = 429;
/** Prefix of the error codes of the Node.js HTTP parser. */
const PARSER_ERROR_PREFIX = 'HPE_';
/** Matches a list of transfer codings that ends with chunks. */
const CHUNKED_LAST = /(^|,)\s*chunked\s*$/i;

/** Why an attempt is cancelled before its request is written. */
export type CancelCause = NotRunCause.BackingOff | NotRunCause.RateLimited;

/** The request to send and its target. */
export interface TargetExchangeOptions {
	readonly requestId: string;
	readonly targetId: string;
	/** Number of this attempt among those of the request at the address, from 1. */
	readonly attemptAtAddress: number;
	readonly host: string;
	readonly port: number;
	readonly method: string;
	readonly path: string;
	readonly rawHeaders: RawHeaders;
	readonly body: RequestBody;
	readonly connectTimeoutMs: Millis;
	/** Responses up to this size are buffered whole before any of it is forwarded, so that a truncated one can be retried. */
	readonly maxBufferedBytes: number;
	/**
	 * Called with the state that the target reports in its response headers, as soon as they arrive.
	 * `writtenAt` is when the request may have been written, on the monotonic clock.
	 */
	readonly onTargetReport: (report: TargetReport, writtenAt: Millis) => void;
	/** Called once, when the request may first have been written. */
	readonly onWritten: (writtenAt: Millis) => void;
}

/** Whether a body has a length or chunks. After any other transfer coding than chunks, it ends with its connection. */
function statesEnd(headers: IncomingMessage['headers']): boolean {
	return headers['content-length'] !== undefined || CHUNKED_LAST.test(headers['transfer-encoding'] ?? '');
}

function isSuccess(status: number): boolean {
	return status >= 200 && status < 300;
}

/** One attempt at one target. */
export class TargetExchange {
	/** Never rejects. */
	readonly outcome: Promise<AttemptOutcome>;
	private readonly _request: ClientRequest;
	private _resolve!: (outcome: AttemptOutcome) => void;
	private _isSettled = false;
	private _writtenAt: Millis | undefined;
	/** The keep-alive connection that carries the request, where one was reused. */
	private _reusedConnection?: { readonly socket: Socket; readonly sentAt: Millis };
	private _connectTimer?: NodeJS.Timeout;
	/** Undefined until the response headers have arrived and belong to this request. */
	responseHeaders?: IncomingMessage['headers'];

	constructor(
		private readonly _agent: TargetAgent,
		private readonly _headerNames: IHeaderNames,
		private readonly _options: TargetExchangeOptions
	) {
		this.outcome = new Promise(resolve => (this._resolve = resolve));
		const { host, port, attemptAtAddress, method, path } = _options;
		const headers = _options.rawHeaders as unknown as Record<string, string>;
		const connectionOptions: ConnectionOptions = { host, port, attemptAtAddress };
		this._request = httpRequest({ ...connectionOptions, agent: this._agent, method, path, headers, setHost: false });
		this._request.on('socket', socket => {
			if (!socket.connecting) {
				const sentAt = systemClock.now();
				this._reusedConnection = { socket, sentAt };
				this._recordWritten(sentAt);
				return;
			}
			socket.once('connect', () => this._onConnect());
		});
		this._connectTimer = setTimeout(() => this._onConnectTimeout(), _options.connectTimeoutMs);
		this._request.on('response', response => this._onResponse(response));
		this._request.on('error', (error: NodeJS.ErrnoException) => this._onConnectionLost(error.message, error.code));
		this._request.on('close', () => this._onConnectionLost('connection closed'));
		_options.body.writeTo(this._request);
	}

	/** When the request may first have been written to the target, on the monotonic clock; undefined where it was not. */
	get writtenAt(): Millis | undefined {
		return this._writtenAt;
	}

	/** Ends the attempt because the caller disconnected or the deadline passed. */
	abandon(): void {
		this._settle({ type: 'abandoned', mayHaveRun: this._writtenAt !== undefined });
		this._request.destroy();
	}

	/** Ends the attempt as `not-run` unless its request may have been written. */
	cancelIfUnwritten(cause: CancelCause): void {
		if (this._writtenAt === undefined) {
			this._settle({ type: 'not-run', hasArrived: false, cause });
			this._request.destroy();
		}
	}

	/** Ends the attempt because its target restarted: `broken` where the request may have been written, otherwise `not-run`. */
	failOnTargetRestart(): void {
		this._onConnectionLost('target restarted');
		this._request.destroy();
	}

	private _settle(outcome: AttemptOutcome): void {
		if (this._isSettled) {
			return;
		}
		this._isSettled = true;
		clearTimeout(this._connectTimer);
		this._resolve(outcome);
	}

	private _onConnect(): void {
		clearTimeout(this._connectTimer);
		this._recordWritten(systemClock.now());
	}

	private _recordWritten(now: Millis): void {
		this._writtenAt = now;
		this._options.onWritten(now);
	}

	private _onConnectTimeout(): void {
		if (this._writtenAt !== undefined) {
			return;
		}
		this._settle({ type: 'not-run', hasArrived: false, cause: NotRunCause.NoConnection });
		this._request.destroy();
	}

	private _onConnectionLost(detail: string, code?: string): void {
		if (this._reusedConnection && !this._isSettled && !this.responseHeaders) {
			this._agent.recordLoss(
				this._reusedConnection.socket,
				this._options.targetId,
				systemClock.now() - this._reusedConnection.sentAt
			);
		}
		if (this._writtenAt !== undefined) {
			this._settle({ type: 'broken', cause: this._brokenCause(code), detail });
		} else {
			this._settle({ type: 'not-run', hasArrived: false, cause: NotRunCause.NoConnection });
		}
	}

	private _brokenCause(code: string | undefined): ResponseFailureCause {
		if (code?.startsWith(PARSER_ERROR_PREFIX)) {
			return ResponseFailureCause.MalformedResponse;
		}
		return this.responseHeaders ? ResponseFailureCause.ResponseTruncated : ResponseFailureCause.ConnectionLost;
	}

	private _onResponse(response: IncomingMessage): void {
		response.on('error', () => this._settle({ type: 'broken', cause: ResponseFailureCause.ResponseTruncated }));
		const { headers } = response;
		const status = response.statusCode!;
		const echoedId = headers[this._headerNames.requestId];
		const isMismatched = echoedId === undefined ? isSuccess(status) : echoedId !== this._options.requestId;
		if (isMismatched) {
			this._settle({ type: 'broken', cause: ResponseFailureCause.ResponseMismatch });
			this._request.destroy();
			return;
		}
		this.responseHeaders = headers;
		const report = parseTargetReport(response, this._headerNames, Date.now());
		// A 421 comes from another target at this address, so its headers describe that target.
		if (status !== STATUS_MISDIRECTED_REQUEST) {
			this._options.onTargetReport(report, this._writtenAt ?? Number.NEGATIVE_INFINITY);
		}
		if (report.isNotRun && echoedId === undefined && this._options.requestId !== '') {
			// It may be a late copy of the refusal of a request without an id, so it promises nothing for this one.
			this._settle({ type: 'broken', cause: ResponseFailureCause.ResponseMismatch });
			this._request.destroy();
			return;
		}
		if (report.isNotRun) {
			response.resume();
			this._settle({ type: 'not-run', hasArrived: true, cause: this._notRunCause(status, report) });
			this._closeIfRequestIncomplete();
			return;
		}
		this._bufferResponse(response, status);
	}

	private _bufferResponse(response: IncomingMessage, status: number): void {
		// A response without a length ends when its connection closes; a reset must count as truncation, not as the end.
		const { socket } = response;
		const onSocketError = (error: Error): void => void response.destroy(error);
		socket.once('error', onSocketError);
		const { headers, rawHeaders } = response;
		const endsWithConnection = this._mayHaveBody(status) && !statesEnd(headers);
		const onSocketEnd = (): void => {
			if (endsWithConnection && takeReset(socket)) {
				response.destroy(new Error('connection reset before the end of the response'));
			}
		};
		// Before the HTTP client's own listener, which ends the response.
		socket.prependListener('end', onSocketEnd);
		response.once('close', () => {
			socket.removeListener('error', onSocketError);
			socket.removeListener('end', onSocketEnd);
		});
		const isTooLarge = isSuccess(status) && Number(headers['content-length'] ?? 0) > this._options.maxBufferedBytes;
		const maxBufferedBytes = isTooLarge ? 0 : this._options.maxBufferedBytes;
		const chunks = new ChunkList();
		const onChunk = (chunk: Buffer): void => {
			chunks.add(chunk);
			if (chunks.bytes > maxBufferedBytes) {
				response.removeListener('end', onEnd);
				const remainingBody = new CoalescedBody(reader);
				const body = chunks.take();
				this._settle({ type: 'answer', status, rawHeaders, endsWithConnection, body, remainingBody });
			}
		};
		const onEnd = (): void => {
			if (!response.complete) {
				this._settle({ type: 'broken', cause: ResponseFailureCause.ResponseTruncated });
				return;
			}
			const body = chunks.take();
			this._settle({ type: 'answer', status, rawHeaders, endsWithConnection, body });
			this._closeIfRequestIncomplete();
		};
		response.on('end', onEnd);
		const reader = new ResponseReader(response, this._agent.readTurns, onChunk);
	}

	private _mayHaveBody(status: number): boolean {
		return this._options.method !== 'HEAD' && status !== STATUS_NO_CONTENT && status !== STATUS_NOT_MODIFIED;
	}

	private _notRunCause(status: number, { load }: TargetReport): NotRunCause {
		switch (status) {
			case STATUS_MISDIRECTED_REQUEST:
				return NotRunCause.OtherTarget;
			case STATUS_SERVICE_UNAVAILABLE:
			case STATUS_TOO_MANY_REQUESTS:
				return refusalCause(load);
			default:
				return NotRunCause.Refused;
		}
	}

	/** A target that responded before it had the whole request body would read the next request on the connection as part of it. */
	private _closeIfRequestIncomplete(): void {
		if (!this._request.writableFinished) {
			this._request.destroy();
		}
	}
}
