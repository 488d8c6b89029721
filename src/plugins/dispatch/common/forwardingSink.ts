/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Base classes for response sinks that wrap another sink. */

import type { ResponseSink } from './dispatch.js';

/** Passes all calls on to another sink; subclasses override the ones that they observe. */
export class ForwardingSink implements ResponseSink {
	constructor(private readonly _sink: ResponseSink) {}

	start(status: number, headers: readonly string[], endsWithConnection: boolean): void {
		this._sink.start(status, headers, endsWithConnection);
	}

	write(chunk: Buffer): boolean {
		return this._sink.write(chunk);
	}

	onDrain(callback: () => void): void {
		this._sink.onDrain(callback);
	}

	end(): void {
		this._sink.end();
	}

	abort(): void {
		this._sink.abort();
	}
}

/** Records whether the response has started; a request cannot be retried after that. */
export class StartTrackingSink extends ForwardingSink {
	private _isStarted = false;

	/** @param _onStart called when the response starts */
	constructor(
		sink: ResponseSink,
		private readonly _onStart?: () => void
	) {
		super(sink);
	}

	get isStarted(): boolean {
		return this._isStarted;
	}

	override start(status: number, headers: readonly string[], endsWithConnection: boolean): void {
		this._isStarted = true;
		this._onStart?.();
		super.start(status, headers, endsWithConnection);
	}
}
