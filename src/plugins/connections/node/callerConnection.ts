/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** One connection of a caller: takes up its requests, and closes it after its last response. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { type Millis, systemClock } from '../../../base/clock.js';
import type { Acceptance } from '../../../kernel/common/acceptDelays.js';
import { ConnectionMemory } from '../common/connectionMemory.js';
import { HeaderDeadline } from '../common/headerDeadline.js';
import { formatInvalidRequest, InvalidRequestStatus, statusOfParserError } from '../common/invalidRequest.js';
import { RequestPipeline } from '../common/requestPipeline.js';
import { EarlyCloseCause, type ICallerConnectionHost } from './callerConnectionHost.js';
import { CallerRequest, type IRequestConnection } from './callerRequest.js';
import { CallerSocket, type IReadControl } from './callerSocket.js';

/** How long the rest of a body is read and discarded after its request was answered; the connection is closed afterwards. */
const DISCARD_MS: Millis = 5000;

/** A connection and its requests. */
export class CallerConnection implements IReadControl, IRequestConnection {
	readonly socket: CallerSocket;
	/** Its requests that were not answered yet. */
	readonly pipeline = new RequestPipeline<CallerRequest>();
	private readonly _open = new Set<CallerRequest>();
	private _latest: CallerRequest | undefined;
	/** For the caller once all requests before the invalid bytes are answered. */
	private _errorStatus: InvalidRequestStatus | undefined;
	/** The request whose body is invalid. */
	private _broken: CallerRequest | undefined;
	private readonly _memory: ConnectionMemory;
	private _headerBytes = 0;
	/** Until when the body of a request that was answered may go on. */
	private _discardUntil: Millis | undefined;
	private readonly _headerDeadline = new HeaderDeadline(systemClock.now());

	/**
	 * @param number distinguishes it from other connections
	 * @param _endsAfterFirst whether the connection is closed after its first response
	 */
	constructor(
		raw: Socket,
		private readonly _host: ICallerConnectionHost,
		number: number,
		private _endsAfterFirst: boolean,
		private readonly _acceptance: Acceptance
	) {
		this._memory = new ConnectionMemory(_host.account, `connection-${number}`);
		this.socket = new CallerSocket(raw, this, _host.bodyAccount, _host.unreadTimeoutMs);
		this.socket.onEvicted = () => this.closeForMemory();
		this.socket.onUnread = () => _host.onEarlyClose(EarlyCloseCause.Unread);
		this.socket.once('close', () => this._onClose());
	}

	/** Requests that were read and have to wait for the response to another. */
	get waitingBehind(): number {
		return Math.max(0, this.pipeline.takenCount + this.pipeline.waitingCount - 1);
	}

	/** Whether the account has memory for a further response. */
	get hasRoom(): boolean {
		return this._memory.hasRoom;
	}

	/** Whether it has no request and no response in progress. */
	get isIdle(): boolean {
		const { heldBytes, writableLength } = this.socket;
		return this._open.size === 0 && this.pipeline.waitingCount === 0 && heldBytes === 0 && writableLength === 0;
	}

	/** Data that waits for this caller to read it; 0 where nothing was written that it does not read. */
	get unreadBytes(): number {
		if (this.socket.writableLength === 0) {
			return 0;
		}
		return this._waitingBytes((total, item) => total + item.response.writableLength);
	}

	mayFeed(): boolean {
		if (this.isInBody()) {
			return true;
		}
		const isQuiet = this._open.size === 0 && this.socket.writableLength === 0;
		return this.pipeline.mayRead && (isQuiet || this.hasRoom);
	}

	get headerBytes(): number {
		return this._headerBytes;
	}

	onFeed(bytes: number): void {
		this._headerBytes += this.isInBody() ? 0 : bytes;
		this._headerDeadline.recordBytes(this.isInBody(), systemClock.now());
	}

	isInBody(): boolean {
		const { _latest: latest } = this;
		return latest !== undefined && !latest.request.complete && !latest.request.destroyed;
	}

	tryTakeTurn(): boolean {
		return this._host.tryTakeReadTurn(this);
	}

	readDelayMs(): Millis {
		return this._host.readDelayMs(this._acceptance);
	}

	/** Adds a request that the parser has read. */
	add(request: IncomingMessage, response: ServerResponse): void {
		const item = new CallerRequest(this, request, response, this.socket.fedArrivedAt);
		this._latest = item;
		this._discardUntil = undefined;
		this._headerBytes = 0;
		this._headerDeadline.clear();
		if (this._open.size > 0) {
			this.socket.lingers = true;
		}
		this.pipeline.add(item, () => this._host.isRepeatable(request));
		if (!response.shouldKeepAlive) {
			this.pipeline.seal();
		}
		if (this._open.size === 0 && this.pipeline.waitingCount === 1 && this._host.mayTakeUp(item.arrivedAt)) {
			this._takeNext();
		} else {
			this._host.schedule(this);
		}
	}

	/**
	 * Takes up the next request and reads on; called by the host after {@link ICallerConnectionHost.schedule}.
	 * @returns whether a request was taken up
	 */
	advance(): boolean {
		const hasTaken = this._takeNext();
		this._closeIfDone();
		this.socket.feed();
		if (hasTaken && this.pipeline.waitingCount > 0) {
			this._host.schedule(this);
		}
		return hasTaken;
	}

	/** Whether the response to this request is the last; the refusal of invalid data would follow it. */
	closesWith(item: CallerRequest): boolean {
		return this._errorStatus === undefined && this.pipeline.closesWith(item);
	}

	tryEndWith(item: CallerRequest): boolean {
		if (!this.pipeline.tryEndWith(item)) {
			return false;
		}
		// A close with unread bytes of the body would take the response with it.
		this.socket.lingers ||= !item.request.complete;
		return true;
	}

	tryBeginUnframed(item: CallerRequest): boolean {
		if (!this.tryEndWith(item) || !this.socket.tryPreventOrderlyClose()) {
			return false;
		}
		item.response.useChunkedEncodingByDefault = false;
		// Before the HTTP server's own listener, which closes the connection.
		item.response.prependOnceListener('finish', () => this.socket.allowOrderlyClose());
		return true;
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
		this._errorStatus ??= statusOfParserError(error);
		this.socket.lingers = true;
		if (this._latest && !this._latest.request.complete && !this.pipeline.removeWaiting(this._latest)) {
			this._broken = this._latest;
		}
		this.pipeline.seal();
		this._closeIfDone();
	}

	/** Updates the account, and closes the connection where headers are late; called periodically. */
	check(now: Millis): void {
		this._memory.update(
			this.socket.heldBytes,
			this._waitingBytes((total, { reservation, response }) => total + (reservation ? 0 : response.writableLength))
		);
		// Otherwise the parser has not got all that the caller sent.
		const isCallerAwaited = this.mayFeed() && this.socket.heldBytes + this.socket.readableLength === 0;
		if (this._headerDeadline.check(isCallerAwaited, this._host.headerTimeoutMs(), now)) {
			this._onHeaderTimeout();
		}
		this._checkDiscarding(now);
	}

	/** Whether its caller has sent anything yet. */
	get hasSentBytes(): boolean {
		return this._headerDeadline.hasFirstByte;
	}

	/** Closes the connection, which has no request, to make room for another one. */
	closeForOthers(): void {
		this._host.onEarlyClose(EarlyCloseCause.Replaced);
		this.socket.destroy();
	}

	/** Closes the connection to release the memory that is held for it. */
	closeForMemory(): void {
		this._host.onEarlyClose(EarlyCloseCause.Memory);
		this.socket.destroy();
	}

	/** Closes the connection when the response of this request would be next. */
	abort(item: CallerRequest, withReset: boolean): void {
		this.pipeline.end();
		const close = (): void => {
			if (withReset) {
				this.socket.resetAndDestroy();
			} else {
				this.socket.destroySoon();
				this._closeAll();
			}
		};
		if (item.response.socket) {
			close();
		} else {
			item.response.once('socket', close);
		}
	}

	/** Takes up one request; returns false where there is none or it has to wait. */
	private _takeNext(): boolean {
		const item = this.pipeline.takeNext(next => this._tryReserve(next));
		if (!item) {
			return false;
		}
		if (this._endsAfterFirst) {
			this.pipeline.end();
		}
		this._open.add(item);
		this._host.onTakenChange(1);
		item.response.once('close', () => this._onResponseClose(item));
		this._host.serve(item);
		return true;
	}

	/** Reserves memory for a response that others have to be sent before; any other response needs no reservation. */
	private _tryReserve(item: CallerRequest): boolean {
		if (this._open.size === 0 && this.socket.writableLength === 0) {
			return true;
		}
		item.reservation = this._memory.tryReserveResponse(this._host.ownerOf(item.request));
		return item.reservation !== undefined;
	}

	private _waitingBytes(add: (total: number, item: CallerRequest) => number): number {
		let total = this.socket.writableLength;
		for (const item of this._open) {
			// The response that is being sent counts the bytes of the socket as its own.
			total = item.response.socket ? total : add(total, item);
		}
		return total;
	}

	private _checkDiscarding(now: Millis): void {
		if (this._discardUntil === undefined || now < this._discardUntil) {
			return;
		}
		this._discardUntil = undefined;
		if (!this.isInBody() || this.socket.isClosing) {
			return;
		}
		this._host.onEarlyClose(EarlyCloseCause.BodyRest);
		this.socket.lingers = true;
		this.pipeline.end();
		this._closeIfDone();
	}

	private _onHeaderTimeout(): void {
		this._host.onEarlyClose(EarlyCloseCause.HeaderTimeout);
		if (this._headerDeadline.hasFirstByte) {
			this._errorStatus ??= InvalidRequestStatus.HeadersTooLate;
		}
		this.socket.lingers = true;
		this._headerDeadline.clear();
		this.pipeline.seal();
		this._closeIfDone();
	}

	private _onResponseClose(item: CallerRequest): void {
		this._memory.recordResponse(this.socket.sentBytes);
		this._closeRequest(item);
		if (this.socket.destroyed) {
			return;
		}
		if (item === this._latest && this.isInBody()) {
			this._discardUntil = systemClock.now() + DISCARD_MS;
		}
		this._closeIfDone();
		if (this.pipeline.waitingCount + this.socket.heldBytes > 0) {
			this._host.schedule(this);
		}
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
			this.socket.write(formatInvalidRequest(this._errorStatus));
		}
		this._errorStatus = undefined;
		this.socket.destroySoon();
	}

	/** The HTTP server does not tell the responses that wait behind others about the close. */
	private _onClose(): void {
		this.pipeline.end();
		this._closeAll();
		this._memory.release();
	}

	private _closeAll(): void {
		[...this._open].forEach(item => this._closeRequest(item));
	}
}
