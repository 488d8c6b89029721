/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** HTTP connections to one target; tracks whether any byte of a request was sent. */

import type { Socket } from 'node:net';
import { buildConnector, type Dispatcher, Pool } from 'undici';
import { systemClock } from '../../../base/clock.js';
import type { IDisposable } from '../../../base/disposable.js';
import type { Verdict } from '../../../base/verdict.js';
import { takeReset } from '../../../kernel/node/connectionReset.js';
import type { DispatchRequest, ResponseSink } from '../common/dispatch.js';
import { TARGET_LEAVING_HEADER, TARGET_SHED_HEADER } from '../common/target.js';

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 20000;
/** Code of the error of a connection that was reset, as it is and as `undici` gets it. */
const RESET_CODE = 'ECONNRESET';
const MARKED_RESET_CODE = 'ERR_TARGET_RESET';
/** Sent with each request; a target that echoes it shows which request its response is for. */
const REQUEST_ID_HEADER = 'shelffield-request-id';
const MIN_FINAL_STATUS = 200;
/** Response headers that concern the connection to the target, or that callers get from this system. */
const DROPPED_HEADERS = new Set([
	REQUEST_ID_HEADER,
	'connection',
	'keep-alive',
	'transfer-encoding',
	'te',
	'trailer',
	'upgrade',
	'proxy-connection'
]);

/** Statuses of responses without a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

type ResponseHeaders = Record<string, string | string[] | undefined>;

/** Result of one attempt to send a request to a target. */
export type AttemptOutcome =
	| { readonly kind: 'answered'; readonly status: number; readonly firstByteMs: number; readonly isDraining: boolean }
	/** The target refused without processing the request; its response was discarded and the sink not started. */
	| { readonly kind: 'shed'; readonly isDraining: boolean }
	/** The target could not be reached or the connection failed before a response; `verdict` tells whether the request may have run. */
	| { readonly kind: 'failed'; readonly verdict: Verdict; readonly message: string }
	/** `maySend` returned false, so nothing was sent; the request can be sent to another target. */
	| { readonly kind: 'withheld'; readonly verdict: 'not-run' }
	/** The response was interrupted after the sink was started. */
	| { readonly kind: 'broken' }
	/** Cancelled by `Attempt.signal`; `verdict` as for `failed`. */
	| { readonly kind: 'aborted'; readonly verdict: Verdict };

/** Request and callbacks of one attempt. */
export interface Attempt {
	readonly request: DispatchRequest;
	readonly sink: ResponseSink;
	/** Called when the target refused without processing; if true, its response is discarded and the outcome is `shed`. */
	mayRetry(): boolean;
	/** Called right before the first byte is sent; if false, nothing is sent and the outcome is `withheld`. */
	maySend(): boolean;
	/** Aborted when the caller disconnects or the deadline passes. */
	readonly signal: AbortSignal;
}

const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

/** Connects to one target so that resets do not pass for the end of a response without a length. */
class ResetDetector {
	private _isEndingByReset = false;

	/** Whether the response that ends in this turn of the event loop ends by a reset that Node.js reports as an end. */
	get isEndingByReset(): boolean {
		return this._isEndingByReset;
	}

	readonly connect: buildConnector.connector = (options, callback) =>
		connect(options, (...[error, socket]) => {
			if (error) {
				callback(error, null);
				return;
			}
			// Before the listeners of `undici`, which takes an error with the code `ECONNRESET` for the end of a response without a length.
			socket.prependListener('error', markReset);
			socket.prependListener('end', () => this._onEnd(socket));
			callback(null, socket);
		});

	private _onEnd(socket: Socket): void {
		this._isEndingByReset = takeReset(socket);
		process.nextTick(() => (this._isEndingByReset = false));
	}
}

function markReset(error: NodeJS.ErrnoException): void {
	error.code = error.code === RESET_CODE ? MARKED_RESET_CODE : error.code;
}

/** Each connection carries one request at a time. */
export class TargetConnectionPool implements IDisposable {
	private readonly _pool: Pool;
	private readonly _resetDetector = new ResetDetector();

	/** @param slots maximum number of concurrent requests and thus of connections */
	constructor(url: string, slots: number) {
		this._pool = new Pool(url, {
			connections: slots,
			pipelining: 1,
			connect: this._resetDetector.connect,
			keepAliveTimeout: KEEP_ALIVE_MS,
			headersTimeout: 0,
			bodyTimeout: 0
		});
	}

	/** Sends a request; the promise never rejects. */
	attempt(attempt: Attempt): Promise<AttemptOutcome> {
		return new Promise(resolve => {
			const handler = new AttemptHandler(attempt, this._resetDetector, resolve);
			const { request } = attempt;
			this._pool.dispatch(
				{
					method: request.method as Dispatcher.HttpMethod,
					path: request.path,
					headers: targetHeaders(request),
					body: request.body.length > 0 ? request.body : null
				},
				handler
			);
		});
	}

	dispose(): void {
		void this._pool.destroy();
	}
}

function targetHeaders(request: DispatchRequest): Record<string, string | string[]> {
	const headers: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(request.headers)) {
		if (value !== undefined) {
			headers[name] = value;
		}
	}
	headers[REQUEST_ID_HEADER] = request.requestId;
	headers['shelffield-group'] = request.group;
	headers['shelffield-deadline-ms'] = String(Math.max(0, Math.floor(request.deadline - systemClock.now())));
	if (request.orderKey !== undefined) {
		headers['shelffield-order-key'] = request.orderKey;
	}
	return headers;
}

/** Receives the response to one attempt. */
class AttemptHandler implements Dispatcher.DispatchHandler {
	private readonly _startedAt = systemClock.now();
	private _isSent = false;
	private _isAborted = false;
	private _isWithheld = false;
	private _isDiscarded = false;
	private _isResponseStarted = false;
	private _isUnframed = false;
	private _status = 0;
	private _firstByteMs = 0;
	private _isDraining = false;
	private _controller?: Dispatcher.DispatchController;
	private readonly _onAbort = (): void => this._abort();

	constructor(
		private readonly _attempt: Attempt,
		private readonly _resetDetector: ResetDetector,
		private readonly _resolve: (outcome: AttemptOutcome) => void
	) {
		_attempt.signal.addEventListener('abort', this._onAbort);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this._controller = controller;
		if (this._attempt.signal.aborted) {
			this._isAborted = true;
			controller.abort(new Error('request cancelled before it was sent'));
			return;
		}
		if (!this._attempt.maySend()) {
			this._isWithheld = true;
			controller.abort(new Error('target no longer available to this instance'));
			return;
		}
		this._isSent = true;
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: ResponseHeaders): void {
		if (status < MIN_FINAL_STATUS) {
			return;
		}
		const echoedId = headers[REQUEST_ID_HEADER];
		if (echoedId !== undefined && echoedId !== this._attempt.request.requestId) {
			controller.abort(new Error('response to another request'));
			return;
		}
		this._firstByteMs = systemClock.now() - this._startedAt;
		this._status = status;
		this._isDraining = headers[TARGET_LEAVING_HEADER] !== undefined;
		const isShed = status === 503 && headers[TARGET_SHED_HEADER] !== undefined;
		this._isDiscarded = isShed && this._attempt.mayRetry();
		if (this._isDiscarded) {
			return;
		}
		this._isResponseStarted = true;
		this._isUnframed = this._endsWithConnection(status, headers);
		this._attempt.sink.start(status, flattenHeaders(headers), this._isUnframed);
	}

	private _endsWithConnection(status: number, headers: ResponseHeaders): boolean {
		const isFramed = headers['content-length'] !== undefined || isChunked(headers['transfer-encoding']);
		return !isFramed && this._attempt.request.method !== 'HEAD' && !BODILESS_STATUSES.has(status);
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this._isDiscarded) {
			return;
		}
		if (!this._attempt.sink.write(chunk)) {
			controller.pause();
			this._attempt.sink.onDrain(() => controller.resume());
		}
	}

	onResponseEnd(): void {
		if (this._isDiscarded) {
			this._settle({ kind: 'shed', isDraining: this._isDraining });
			return;
		}
		if (this._isUnframed && this._resetDetector.isEndingByReset) {
			this._attempt.sink.abort();
			this._settle({ kind: 'broken' });
			return;
		}
		this._attempt.sink.end();
		const { _status: status, _firstByteMs: firstByteMs, _isDraining: isDraining } = this;
		this._settle({ kind: 'answered', status, firstByteMs, isDraining });
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		if (this._isResponseStarted) {
			this._attempt.sink.abort();
			this._settle({ kind: 'broken' });
			return;
		}
		if (this._isWithheld) {
			this._settle({ kind: 'withheld', verdict: 'not-run' });
			return;
		}
		const verdict: Verdict = this._isSent ? 'may-have-run' : 'not-run';
		this._settle(this._isAborted ? { kind: 'aborted', verdict } : { kind: 'failed', verdict, message: error.message });
	}

	private _abort(): void {
		this._isAborted = true;
		this._controller?.abort(new Error('request cancelled'));
		if (!this._controller) {
			this._settle({ kind: 'aborted', verdict: 'not-run' });
		}
	}

	private _settle(outcome: AttemptOutcome): void {
		this._attempt.signal.removeEventListener('abort', this._onAbort);
		this._resolve(outcome);
	}
}

/** Whether the last transfer coding is `chunked`; after any other one, the body ends with the connection. */
function isChunked(transferEncoding: string | string[] | undefined): boolean {
	return /(^|,)\s*chunked\s*$/i.test(String(transferEncoding ?? ''));
}

function flattenHeaders(headers: ResponseHeaders): string[] {
	const flat: string[] = [];
	for (const [name, value] of Object.entries(headers)) {
		if (value === undefined || DROPPED_HEADERS.has(name)) {
			continue;
		}
		for (const item of Array.isArray(value) ? value : [value]) {
			flat.push(name, item);
		}
	}
	return flat;
}
