/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Cancellation of a queued or running request. */

import { systemClock } from '../../../base/clock.js';
import type { IDisposable } from '../../../base/disposable.js';
import { RefusalReason, RequestError } from '../../../base/verdict.js';
import type { DispatchRequest, ResponseSink } from '../common/dispatch.js';
import { StartTrackingSink } from '../common/forwardingSink.js';

/** A request that is queued or running; cancelled when its deadline passes or its caller disconnects. */
export class PendingRequest implements IDisposable {
	private readonly _controller = new AbortController();
	private readonly _timer: NodeJS.Timeout;
	private _reject!: (error: RequestError) => void;
	private _isRunning = false;
	private _isCancelled = false;
	/** Rejects with a `RequestError` when the request is cancelled; never resolves. */
	readonly cancellation = new Promise<never>((_resolve, reject) => (this._reject = reject));

	constructor(private readonly _request: DispatchRequest) {
		this.cancellation.catch(() => undefined);
		const leftMs = Math.max(0, _request.deadline - systemClock.now());
		this._timer = setTimeout(() => this._cancel(RefusalReason.DeadlinePassed, 504), leftMs);
		_request.signal.addEventListener('abort', this._onCallerDisconnected);
	}

	get isCancelled(): boolean {
		return this._isCancelled;
	}

	/** Aborted when the request is cancelled. */
	get signal(): AbortSignal {
		return this._controller.signal;
	}

	/** Wraps a sink to stop the deadline timer at the start of the response, unless the deadline is strict. */
	wrapSink(sink: ResponseSink): ResponseSink {
		return new StartTrackingSink(sink, () => {
			if (!this._request.isDeadlineStrict) {
				clearTimeout(this._timer);
			}
		});
	}

	/** To be called when the request leaves the queue; from then on it may have run. */
	markRunning(): void {
		this._isRunning = true;
	}

	dispose(): void {
		clearTimeout(this._timer);
		this._request.signal.removeEventListener('abort', this._onCallerDisconnected);
	}

	private readonly _onCallerDisconnected = (): void => this._cancel(RefusalReason.Cancelled, 499);

	private _cancel(reason: RefusalReason, status: number): void {
		if (this._isCancelled) {
			return;
		}
		this._isCancelled = true;
		const verdict = this._isRunning ? 'may-have-run' : 'not-run';
		this._reject(
			new RequestError(verdict, reason, status, `request cancelled: ${reason}`, this._isRunning ? undefined : 0)
		);
		this._controller.abort();
	}
}
