/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** One connection of a caller: takes up its requests, and closes it after its last response. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Millis } from '../../../base/clock.js';
import type { ICallerRequest } from '../common/callerConnections.js';
import { RequestPipeline } from '../common/requestPipeline.js';
import { CallerSocket, type IReadControl } from './callerSocket.js';

/** Status lines of responses to bytes that are no valid request. */
const BAD_REQUEST = '400 Bad Request';
const HEADERS_TOO_LARGE = '431 Request Header Fields Too Large';
const HEADER_OVERFLOW_CODE = 'HPE_HEADER_OVERFLOW';

/** What a connection needs from its listener. */
export interface ICallerConnectionHost {
	isRepeatable(request: IncomingMessage): boolean;
	serve(request: ICallerRequest): void;
	/** Called when the number of requests that were taken up changes. */
	onTakenChange(difference: number): void;
}

class CallerRequest implements ICallerRequest {
	private _closeHandler: ((isComplete: boolean) => void) | undefined;
	/** Undefined until the exchange has ended. */
	private _isComplete: boolean | undefined;

	constructor(
		private readonly _connection: CallerConnection,
		readonly request: IncomingMessage,
		readonly response: ServerResponse,
		readonly arrivedAt: Millis
	) {}

	get closesConnection(): boolean {
		return this._connection.closesWith(this);
	}

	tryCloseConnection(): boolean {
		return this._connection.pipeline.tryEndWith(this);
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
		this._closeHandler?.(isComplete);
		return true;
	}
}

/** A connection and its requests. */
export class CallerConnection implements IReadControl {
	readonly socket: CallerSocket;
	/** Its requests that were not answered yet. */
	readonly pipeline = new RequestPipeline<CallerRequest>();
	private readonly _open = new Set<CallerRequest>();
	private _latest: CallerRequest | undefined;
	/** Status line for the caller once all requests before the invalid bytes are answered. */
	private _errorStatus: string | undefined;
	/** The request whose body is invalid. */
	private _broken: CallerRequest | undefined;
	private _isTaking = false;

	/** @param _endsAfterFirst whether the connection is closed after its first response */
	constructor(
		raw: Socket,
		private readonly _host: ICallerConnectionHost,
		private _endsAfterFirst: boolean
	) {
		this.socket = new CallerSocket(raw, this);
		this.socket.once('close', () => this._onClose());
	}

	/** Whether it has no request and no response in progress. */
	get isIdle(): boolean {
		return this._open.size === 0 && this.pipeline.waitingCount === 0 && this.socket.writableLength === 0;
	}

	mayFeed(): boolean {
		return this.pipeline.mayRead || this.isInBody();
	}

	isInBody(): boolean {
		const { _latest: latest } = this;
		return latest !== undefined && !latest.request.complete && !latest.request.destroyed;
	}

	/** Adds a request that the parser has read. */
	add(request: IncomingMessage, response: ServerResponse): void {
		const item = new CallerRequest(this, request, response, this.socket.fedArrivedAt);
		this._latest = item;
		if (this._open.size > 0) {
			this.socket.lingers = true;
		}
		this.pipeline.add(item, () => this._host.isRepeatable(request));
		if (!response.shouldKeepAlive) {
			this.pipeline.seal();
		}
		this._takeUp();
	}

	/** Whether the response to this request is the last; the refusal of invalid data would follow it. */
	closesWith(item: CallerRequest): boolean {
		return this._errorStatus === undefined && this.pipeline.closesWith(item);
	}

	/** Ends the taking up; a connection without requests that were taken up serves one more. */
	endTakingUp(): void {
		this._endsAfterFirst = true;
		this.socket.lingers = true;
		if (this.pipeline.takenCount > 0) {
			this.pipeline.end();
		}
	}

	/** Bytes that are no valid request: the requests before them are answered, then the error is. */
	onInvalidData(error: NodeJS.ErrnoException): void {
		if (this._latest?.response.shouldKeepAlive === false) {
			// What follows a request that asked for the close is ignored.
			return;
		}
		this._errorStatus ??= error.code === HEADER_OVERFLOW_CODE ? HEADERS_TOO_LARGE : BAD_REQUEST;
		this.socket.lingers = true;
		if (this._latest && !this._latest.request.complete && !this.pipeline.removeWaiting(this._latest)) {
			this._broken = this._latest;
		}
		this.pipeline.seal();
		this._closeIfDone();
	}

	/** Closes the connection when the response of this request would be next. */
	abort(item: CallerRequest, withReset: boolean): void {
		this.pipeline.end();
		const close = (): void => {
			if (withReset) {
				this.socket.resetAndDestroy();
			} else {
				this.socket.destroy();
			}
		};
		if (item.response.socket) {
			close();
		} else {
			item.response.once('socket', close);
		}
	}

	private _takeUp(): void {
		if (this._isTaking) {
			return;
		}
		this._isTaking = true;
		for (let next = this.pipeline.takeNext(); next; next = this.pipeline.takeNext()) {
			const item = next;
			if (this._endsAfterFirst) {
				this.pipeline.end();
			}
			this._open.add(item);
			this._host.onTakenChange(1);
			item.response.once('close', () => this._onResponseClose(item));
			this._host.serve(item);
		}
		this._isTaking = false;
	}

	private _onResponseClose(item: CallerRequest): void {
		this._closeRequest(item);
		if (this.socket.destroyed) {
			return;
		}
		this._takeUp();
		this._closeIfDone();
		this.socket.feed();
	}

	private _closeRequest(item: CallerRequest): void {
		if (item.close(item.response.writableFinished)) {
			this._open.delete(item);
			this.pipeline.finish(item);
			this._host.onTakenChange(-1);
		}
	}

	private _closeIfDone(): void {
		const isBrokenNext = this._broken !== undefined && this.pipeline.isFirst(this._broken);
		if (!this.pipeline.isDone && !isBrokenNext) {
			return;
		}
		const mayRefuse = !this.pipeline.hasDropped && !this._broken?.response.headersSent && this.socket.writable;
		if (this._errorStatus !== undefined && mayRefuse) {
			this.socket.write(`HTTP/1.1 ${this._errorStatus}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
		}
		this._errorStatus = undefined;
		this.socket.destroySoon();
	}

	/** The HTTP server does not tell the responses that wait behind others about the close. */
	private _onClose(): void {
		this.pipeline.end();
		[...this._open].forEach(item => this._closeRequest(item));
	}
}
