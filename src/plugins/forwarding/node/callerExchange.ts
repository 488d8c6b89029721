/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** One request of a caller: what it asks, when its time is over, and the answer that it gets. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';
import { type Millis, systemClock } from '../../../base/clock.js';
import type { RefusalReason, Verdict } from '../../../base/verdict.js';
import { digestKey } from '../../routes/common/teamIndex.js';
import type { TargetAnswer } from '../common/attempt.js';
import type { IHeaderNames } from '../common/headerNames.js';
import { cookieValue, passedHeaders } from '../common/hopHeaders.js';
import type { LinkScheduler } from './linkScheduler.js';
import { PacedBody } from './pacedBody.js';

const VERDICT_HEADER = 'Shelffield-Verdict';
const NOTHING_DROPPED: ReadonlySet<string> = new Set();
const LENGTH_DROPPED: ReadonlySet<string> = new Set(['content-length']);

/** An answer of the system's own. */
export interface OwnAnswer {
	readonly status: number;
	readonly verdict: Verdict;
	readonly reason: RefusalReason | 'no-route';
	readonly retryAfterMs?: Millis;
}

/** A request of a caller and its answer. */
export class CallerExchange {
	readonly arrivedAt = systemClock.now();
	readonly requestId: string;
	/** Milliseconds that the caller waits; infinite where it does not say. */
	readonly remainingMs: Millis;
	readonly objectKey: string | undefined;
	/** Digest of the key that the caller showed; undefined for none, or an empty one. */
	readonly keyDigest: string | undefined;
	private _onLeft: (() => void) | undefined;
	private _hasLeft = false;
	private _onClosed: (() => void) | undefined;

	constructor(
		readonly request: IncomingMessage,
		private readonly _response: ServerResponse,
		names: IHeaderNames,
		private readonly _link: LinkScheduler
	) {
		const remaining = Number(request.headers[names.remainingMs] ?? Number.NaN);
		this.requestId = String(request.headers[names.requestId] ?? '');
		this.remainingMs = Number.isFinite(remaining) ? remaining : Number.POSITIVE_INFINITY;
		this.objectKey = cookieValue(request.rawHeaders, names.objectCookie);
		const key = request.headers[names.teamKey];
		this.keyDigest = typeof key === 'string' && key !== '' ? digestKey(key) : undefined;
		_response.on('close', () => this._noticeClose());
	}

	/** Host as the caller wrote it. */
	get host(): string {
		return this.request.headers.host ?? '';
	}

	/** Path and query. */
	get path(): string {
		return this.request.url ?? '/';
	}

	/** Whether the caller closed its connection before it had the whole answer. */
	get hasLeft(): boolean {
		return this._hasLeft;
	}

	/** Calls back when the caller leaves; one callback at a time. */
	whenLeft(callback: (() => void) | undefined): void {
		this._onLeft = callback;
		if (this._hasLeft) {
			callback?.();
		}
	}

	/** Calls back once the answer has been passed on, or the caller has left; one callback at most. */
	whenClosed(callback: () => void): void {
		this._onClosed = callback;
	}

	/** Gives the caller an answer of the system's own. */
	refuse(answer: OwnAnswer): void {
		if (this._hasLeft) {
			return;
		}
		const { verdict, reason, retryAfterMs } = answer;
		const body = JSON.stringify({ verdict, reason, retryAfterMs, requestId: this.requestId });
		this._response.statusCode = answer.status;
		this._response.setHeader('Content-Type', 'application/json');
		this._response.setHeader(VERDICT_HEADER, verdict);
		if (retryAfterMs !== undefined) {
			this._response.setHeader('Retry-After', (retryAfterMs / 1000).toFixed(2));
		}
		this._response.setHeader('Content-Length', Buffer.byteLength(body));
		this._response.end(body);
	}

	/** Passes a target's answer on. When it breaks off in the middle, so does the caller's connection. */
	pass(answer: TargetAnswer): void {
		if (this._hasLeft) {
			answer.rest?.destroy();
			return;
		}
		this._writeHead(answer);
		if (!answer.rest) {
			this._response.end(answer.body);
			return;
		}
		this._stream(answer.body, answer.rest);
	}

	/** Passes a large body on piece by piece. */
	private _stream(beginning: Buffer, rest: Readable): void {
		const paced = new PacedBody(this._link);
		const breakOff = (): void => {
			paced.destroy();
			this._response.destroy();
		};
		this.whenLeft(() => {
			rest.destroy();
			paced.destroy();
		});
		rest.on('error', breakOff);
		rest.on('close', () => {
			if (!rest.readableEnded) {
				breakOff();
			}
		});
		paced.write(beginning);
		rest.pipe(paced).pipe(this._response);
	}

	private _writeHead(answer: TargetAnswer): void {
		const isHead = this.request.method === 'HEAD';
		const isHeld = answer.rest === undefined && !answer.endsWithConnection && !isHead;
		const headers = passedHeaders(answer.rawHeaders, isHeld ? LENGTH_DROPPED : NOTHING_DROPPED);
		if (isHeld) {
			headers.push('Content-Length', String(answer.body.length));
		}
		if (answer.endsWithConnection) {
			this._response.useChunkedEncodingByDefault = false;
		}
		if (answer.endsWithConnection || this._response.getHeader('connection') !== undefined) {
			headers.push('Connection', 'close');
		}
		headers.push(VERDICT_HEADER, 'ran');
		this._response.writeHead(answer.status, headers);
	}

	private _noticeClose(): void {
		this._onClosed?.();
		if (this._response.writableFinished) {
			return;
		}
		this._hasLeft = true;
		this._onLeft?.();
	}
}
