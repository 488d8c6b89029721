/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Carries one request at a time over each connection to one target, and knows whether a byte of it was written. */

import { type Dispatcher, Pool } from 'undici';
import { systemClock } from '../../../base/clock.js';
import type { IDisposable } from '../../../base/disposable.js';
import type { Verdict } from '../../../base/verdict.js';
import type { CarriedRequest, ResponseSink } from '../common/dispatch.js';
import { TARGET_LEAVING_HEADER, TARGET_SHED_HEADER } from '../common/target.js';

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 20000;
const HOP_BY_HOP = new Set([
	'connection',
	'keep-alive',
	'transfer-encoding',
	'te',
	'trailer',
	'upgrade',
	'proxy-connection'
]);

/** How an attempt at a target ended. */
export type AttemptOutcome =
	| { readonly kind: 'answered'; readonly status: number; readonly firstByteMs: number; readonly isLeaving: boolean }
	/** It refused before working, and nothing of its answer went into the sink. */
	| { readonly kind: 'shed'; readonly isLeaving: boolean }
	/** No answer; `verdict` says whether the request may have run. */
	| { readonly kind: 'failed'; readonly verdict: Verdict; readonly message: string }
	/** No leave to write was given, right before the first byte; another target may take the request. */
	| { readonly kind: 'withheld'; readonly verdict: 'not-run' }
	/** The answer broke off after its head went into the sink. */
	| { readonly kind: 'broken' }
	/** Given up by us; `verdict` as for `failed`. */
	| { readonly kind: 'aborted'; readonly verdict: Verdict };

/** What an attempt is made with. */
export interface Attempt {
	readonly request: CarriedRequest;
	readonly sink: ResponseSink;
	/** Asked when the target refused: true swallows its answer, and another target is to be tried. */
	mayRetry(): boolean;
	/** Asked right before the first byte is written; false ends the attempt as not run. */
	mayWrite(): boolean;
	/** Aborted when the caller has gone or the deadline has passed. */
	readonly signal: AbortSignal;
}

/** The connections to one target. */
export class TargetConnection implements IDisposable {
	private readonly _pool: Pool;

	/** @param slots most requests at once, and so most connections */
	constructor(url: string, slots: number) {
		this._pool = new Pool(url, {
			connections: slots,
			pipelining: 1,
			connect: { timeout: CONNECT_TIMEOUT_MS },
			keepAliveTimeout: KEEP_ALIVE_MS,
			headersTimeout: 0,
			bodyTimeout: 0
		});
	}

	/** Makes one attempt; never rejects. */
	attempt(attempt: Attempt): Promise<AttemptOutcome> {
		return new Promise(resolve => {
			const handler = new AttemptHandler(attempt, resolve);
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

function targetHeaders(request: CarriedRequest): Record<string, string | string[]> {
	const headers: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(request.headers)) {
		if (value !== undefined) {
			headers[name] = value;
		}
	}
	headers['shelffield-request-id'] = request.requestId;
	headers['shelffield-group'] = request.group;
	headers['shelffield-deadline-ms'] = String(Math.max(0, Math.floor(request.deadline - systemClock.now())));
	if (request.orderKey !== undefined) {
		headers['shelffield-order-key'] = request.orderKey;
	}
	return headers;
}

/** Receives the answer of one attempt. */
class AttemptHandler implements Dispatcher.DispatchHandler {
	private readonly _startedAt = systemClock.now();
	private _isWritten = false;
	private _isAborted = false;
	private _isWithheld = false;
	private _isSwallowed = false;
	private _isHeadSent = false;
	private _status = 0;
	private _firstByteMs = 0;
	private _isLeaving = false;
	private _controller?: Dispatcher.DispatchController;
	private readonly _onAbort = (): void => this._abort();

	constructor(
		private readonly _attempt: Attempt,
		private readonly _resolve: (outcome: AttemptOutcome) => void
	) {
		_attempt.signal.addEventListener('abort', this._onAbort);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this._controller = controller;
		if (this._attempt.signal.aborted) {
			this._isAborted = true;
			controller.abort(new Error('given up before the first byte'));
			return;
		}
		if (!this._attempt.mayWrite()) {
			this._isWithheld = true;
			controller.abort(new Error('no leave to write'));
			return;
		}
		this._isWritten = true;
	}

	onResponseStart(
		_controller: Dispatcher.DispatchController,
		status: number,
		headers: Record<string, string | string[] | undefined>
	): void {
		this._firstByteMs = systemClock.now() - this._startedAt;
		this._status = status;
		this._isLeaving = headers[TARGET_LEAVING_HEADER] !== undefined;
		const isShed = status === 503 && headers[TARGET_SHED_HEADER] !== undefined;
		this._isSwallowed = isShed && this._attempt.mayRetry();
		if (this._isSwallowed) {
			return;
		}
		this._isHeadSent = true;
		this._attempt.sink.start(status, flattenHeaders(headers));
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this._isSwallowed) {
			return;
		}
		if (!this._attempt.sink.write(chunk)) {
			controller.pause();
			this._attempt.sink.onDrain(() => controller.resume());
		}
	}

	onResponseEnd(): void {
		if (this._isSwallowed) {
			this._settle({ kind: 'shed', isLeaving: this._isLeaving });
			return;
		}
		this._attempt.sink.end();
		const { _status: status, _firstByteMs: firstByteMs, _isLeaving: isLeaving } = this;
		this._settle({ kind: 'answered', status, firstByteMs, isLeaving });
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		if (this._isHeadSent) {
			this._attempt.sink.breakOff();
			this._settle({ kind: 'broken' });
			return;
		}
		if (this._isWithheld) {
			this._settle({ kind: 'withheld', verdict: 'not-run' });
			return;
		}
		const verdict: Verdict = this._isWritten ? 'may-have-run' : 'not-run';
		this._settle(this._isAborted ? { kind: 'aborted', verdict } : { kind: 'failed', verdict, message: error.message });
	}

	private _abort(): void {
		this._isAborted = true;
		this._controller?.abort(new Error('given up'));
		if (!this._controller) {
			this._settle({ kind: 'aborted', verdict: 'not-run' });
		}
	}

	private _settle(outcome: AttemptOutcome): void {
		this._attempt.signal.removeEventListener('abort', this._onAbort);
		this._resolve(outcome);
	}
}

function flattenHeaders(headers: Record<string, string | string[] | undefined>): string[] {
	const flat: string[] = [];
	for (const [name, value] of Object.entries(headers)) {
		if (value === undefined || HOP_BY_HOP.has(name)) {
			continue;
		}
		for (const item of Array.isArray(value) ? value : [value]) {
			flat.push(name, item);
		}
	}
	return flat;
}
