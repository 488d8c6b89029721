/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** One request of a caller, from when it was read until its response was sent or its connection closed. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Millis } from '../../../base/clock.js';
import type { ICallerRequest } from '../common/callerConnections.js';
import type { IHeldMemory } from '../common/memoryAccount.js';

/** What a request needs of its connection. */
export interface IRequestConnection {
	/** Whether the account has memory for a further response. */
	readonly hasRoom: boolean;
	/** Whether the response to this request is the last. */
	closesWith(request: CallerRequest): boolean;
	/** Makes the response to this request the last; returns false where others have to follow. */
	tryEndWith(request: CallerRequest): boolean;
	/** Makes the response to this request the last, with a reset in place of its end until all of it was sent; returns false where it cannot. */
	tryBeginUnframed(request: CallerRequest): boolean;
	/** Closes the connection when the response of this request would be next. */
	abort(request: CallerRequest, withReset: boolean): void;
}

/** A request that was read from a connection. */
export class CallerRequest implements ICallerRequest {
	private _closeHandler: ((isComplete: boolean) => void) | undefined;
	/** Undefined until the exchange has ended. */
	private _isComplete: boolean | undefined;
	/** Bytes reserved for a response that has to wait behind others. */
	reservation: IHeldMemory | undefined;

	constructor(
		private readonly _connection: IRequestConnection,
		readonly request: IncomingMessage,
		readonly response: ServerResponse,
		readonly arrivedAt: Millis
	) {}

	get hasRoom(): boolean {
		return this.reservation !== undefined || this._connection.hasRoom;
	}

	get closesConnection(): boolean {
		return this._connection.closesWith(this);
	}

	tryCloseConnection(): boolean {
		return this._connection.tryEndWith(this);
	}

	tryBeginUnframed(): boolean {
		return this._connection.tryBeginUnframed(this);
	}

	abort(withReset: boolean): void {
		this._connection.abort(this, withReset);
	}

	setCloseHandler(callback: (isComplete: boolean) => void): void {
		this._closeHandler = callback;
		if (this._isComplete !== undefined) {
			callback(this._isComplete);
		}
	}

	/** Ends the exchange; returns false where it has ended before. */
	close(isComplete: boolean): boolean {
		if (this._isComplete !== undefined) {
			return false;
		}
		this._isComplete = isComplete;
		this.reservation?.release();
		this._closeHandler?.(isComplete);
		return true;
	}
}
