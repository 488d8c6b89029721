/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Sends one request to one target and says what came of it. */

import { type ClientRequest, type IncomingMessage, request as httpRequest } from 'node:http';
import type { Socket } from 'node:net';
import { type Millis, systemClock } from '../../../base/clock.js';
import { type AttemptOutcome, BrokenCause, NotRunCause, type RawHeaders } from '../common/attempt.js';
import type { IHeaderNames } from '../common/headerNames.js';
import { refusalCause } from '../common/targets/targetRefusal.js';
import { readTargetWord, type TargetWord } from '../common/targets/targetWord.js';
import type { RequestBody } from './requestBody.js';
import type { TargetAgent } from './targets/targetAgent.js';

const STATUS_OTHER_TARGET = 421;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;
const STATUS_UNAVAILABLE = 503;
const STATUS_TOO_MANY = 429;
/** How Node.js begins the codes of its HTTP parser's errors. */
const PARSER_ERRORS = 'HPE_';

/** Why a request that was not written yet is taken back. */
export type WithdrawCause = NotRunCause.AtRest | NotRunCause.AtLimit;

/** What is sent, and where. */
export interface TargetRequest {
	readonly requestId: string;
	/** Id of the target. */
	readonly targetId: string;
	readonly host: string;
	readonly port: number;
	readonly method: string;
	readonly path: string;
	readonly rawHeaders: RawHeaders;
	readonly body: RequestBody;
	readonly connectTimeoutMs: Millis;
	/** Answers up to this size are held whole before the caller sees any of it, so that a broken one can be replaced. */
	readonly heldBytes: number;
	/** Is told what the target says of itself, as soon as the head of its answer is there, and when the request may have been written. */
	readonly onWord: (word: TargetWord, writtenAt: Millis) => void;
}

function mayHaveBody(status: number): boolean {
	return status !== STATUS_NO_CONTENT && status !== STATUS_NOT_MODIFIED;
}

function isSuccess(status: number): boolean {
	return status >= 200 && status < 300;
}

/** One attempt at one target. */
export class TargetExchange {
	/** What came of it; never rejects. */
	readonly outcome: Promise<AttemptOutcome>;
	private readonly _request: ClientRequest;
	private _resolve!: (outcome: AttemptOutcome) => void;
	private _isSettled = false;
	private _writtenAt: Millis | undefined;
	/** The kept connection that the request went out on, if it was one. */
	private _reused?: { readonly socket: Socket; readonly sentAt: Millis };
	private _connectTimer?: NodeJS.Timeout;
	/** Headers of the target's answer, once they are there. */
	answerHeaders?: IncomingMessage['headers'];

	constructor(
		private readonly _agent: TargetAgent,
		private readonly _names: IHeaderNames,
		private readonly _sent: TargetRequest
	) {
		this.outcome = new Promise(resolve => (this._resolve = resolve));
		const { host, port, method, path } = _sent;
		const headers = _sent.rawHeaders as unknown as Record<string, string>;
		this._request = httpRequest({ agent: this._agent, host, port, method, path, headers, setHost: false });
		this._request.on('socket', socket => {
			if (!socket.connecting) {
				this._writtenAt = systemClock.now();
				this._reused = { socket, sentAt: this._writtenAt };
				return;
			}
			socket.once('connect', () => this._onConnect());
		});
		this._connectTimer = setTimeout(() => this._onConnectTimeout(), _sent.connectTimeoutMs);
		this._request.on('response', response => this._onResponse(response));
		this._request.on('error', (error: NodeJS.ErrnoException) => this._onLost(error.message, error.code));
		this._request.on('close', () => this._onLost('closed'));
		_sent.body.writeTo(this._request);
	}

	/** When the request may have been written to the target, on the monotonic clock; undefined for not yet. */
	get writtenAt(): Millis | undefined {
		return this._writtenAt;
	}

	/** Ends the attempt: the caller left or its time is over. */
	abandon(): void {
		this._settle({ type: 'abandoned', mayHaveRun: this._writtenAt !== undefined });
		this._request.destroy();
	}

	/** Takes the request back where nothing of it has been written: its target wants nothing more. */
	withdraw(cause: WithdrawCause): void {
		if (this._writtenAt === undefined) {
			this._settle({ type: 'not-run', hasArrived: false, cause });
			this._request.destroy();
		}
	}

	/** Ends the attempt: its target has started again, and knows nothing of it. */
	lose(): void {
		this._onLost('the target started again');
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
		this._writtenAt = systemClock.now();
		clearTimeout(this._connectTimer);
	}

	private _onConnectTimeout(): void {
		if (this._writtenAt !== undefined) {
			return;
		}
		this._settle({ type: 'not-run', hasArrived: false, cause: NotRunCause.NoConnection });
		this._request.destroy();
	}

	private _onLost(detail: string, code?: string): void {
		if (this._reused && !this._isSettled && !this.answerHeaders) {
			this._agent.noteLoss(this._reused.socket, this._sent.targetId, systemClock.now() - this._reused.sentAt);
		}
		if (this._writtenAt !== undefined) {
			this._settle({ type: 'broken', cause: this._lossCause(code), detail });
		} else {
			this._settle({ type: 'not-run', hasArrived: false, cause: NotRunCause.NoConnection });
		}
	}

	private _lossCause(code: string | undefined): BrokenCause {
		if (code?.startsWith(PARSER_ERRORS)) {
			return BrokenCause.Garbled;
		}
		return this.answerHeaders ? BrokenCause.BrokenOff : BrokenCause.ConnectionLost;
	}

	private _onResponse(response: IncomingMessage): void {
		response.on('error', () => this._settle({ type: 'broken', cause: BrokenCause.BrokenOff }));
		const { headers } = response;
		const status = response.statusCode!;
		const echo = headers[this._names.requestId];
		const isOther = echo === undefined ? isSuccess(status) : echo !== this._sent.requestId;
		if (isOther) {
			this._settle({ type: 'broken', cause: BrokenCause.OtherAnswer });
			this._request.destroy();
			return;
		}
		this.answerHeaders = headers;
		const word = readTargetWord(response, this._names, Date.now());
		// Another target speaks there of itself, not of the one that was meant.
		if (status !== STATUS_OTHER_TARGET) {
			this._sent.onWord(word, this._writtenAt ?? Number.NEGATIVE_INFINITY);
		}
		if (word.isNotRun) {
			response.resume();
			this._settle({ type: 'not-run', hasArrived: true, cause: this._notRunCause(status, word) });
			this._closeUnlessWholeSent();
			return;
		}
		this._hold(response, status);
	}

	private _hold(response: IncomingMessage, status: number): void {
		// An answer without a length ends with its connection; a reset ends it too, but then it is not whole.
		const { socket } = response;
		const onSocketError = (error: Error): void => void response.destroy(error);
		socket.once('error', onSocketError);
		response.once('close', () => socket.removeListener('error', onSocketError));
		const { headers, rawHeaders } = response;
		const endsWithConnection =
			headers['content-length'] === undefined && headers['transfer-encoding'] === undefined && mayHaveBody(status);
		const isTooLarge = isSuccess(status) && Number(headers['content-length'] ?? 0) > this._sent.heldBytes;
		const heldBytes = isTooLarge ? 0 : this._sent.heldBytes;
		const pieces: Buffer[] = [];
		let size = 0;
		const onData = (piece: Buffer): void => {
			pieces.push(piece);
			size += piece.length;
			if (size > heldBytes) {
				response.pause();
				response.removeListener('data', onData);
				response.removeListener('end', onEnd);
				const body = Buffer.concat(pieces);
				this._settle({ type: 'answer', status, rawHeaders, endsWithConnection, body, rest: response });
			}
		};
		const onEnd = (): void => {
			if (!response.complete) {
				this._settle({ type: 'broken', cause: BrokenCause.BrokenOff });
				return;
			}
			const body = Buffer.concat(pieces);
			this._settle({ type: 'answer', status, rawHeaders, endsWithConnection, body });
			this._closeUnlessWholeSent();
		};
		response.on('data', onData);
		response.on('end', onEnd);
	}

	private _notRunCause(status: number, { load }: TargetWord): NotRunCause {
		switch (status) {
			case STATUS_OTHER_TARGET:
				return NotRunCause.OtherTarget;
			case STATUS_UNAVAILABLE:
			case STATUS_TOO_MANY:
				return refusalCause(load);
			default:
				return NotRunCause.Refused;
		}
	}

	/** A target that answered before it had the whole body would take what comes next for the rest of it. */
	private _closeUnlessWholeSent(): void {
		if (!this._request.writableFinished) {
			this._request.destroy();
		}
	}
}
