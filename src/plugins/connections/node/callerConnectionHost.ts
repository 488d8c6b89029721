/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What a caller's connection needs from its listener, and tells it. */

import type { IncomingMessage } from 'node:http';
import type { Millis } from '../../../base/clock.js';
import type { Acceptance } from '../../../kernel/common/acceptDelays.js';
import type { IBodyAccount } from '../../../kernel/common/bodyAccount.js';
import type { ICallerRequest } from '../common/callerConnections.js';
import type { IMemoryAccount } from '../common/memoryAccount.js';
import type { CallerConnection } from './callerConnection.js';

/** Why a connection is closed although its caller may still wait for something; also a metric label. */
export enum EarlyCloseCause {
	/** The caller reads nothing. */
	Unread = 'unread',
	/** An account is full, and the caller reads slowly, or has waited longest with a part of a request. */
	Memory = 'memory',
	/** The headers of a request were not complete in time. */
	HeaderTimeout = 'header-timeout',
	/** It had no request, and its place was needed for another connection. */
	Replaced = 'replaced',
	/** The body of a request goes on long after the response. */
	BodyRest = 'body-rest'
}

/** What a connection needs from its listener. */
export interface ICallerConnectionHost {
	readonly account: IMemoryAccount;
	/** Counts what is received ahead of the parser, and headers in part. */
	readonly bodyAccount: IBodyAccount;
	readonly unreadTimeoutMs: Millis;
	headerTimeoutMs(): Millis;
	/** How long bytes that are read now from a connection may have waited. */
	readDelayMs(acceptance: Acceptance): Millis;
	ownerOf(request: IncomingMessage): string | undefined;
	isRepeatable(request: IncomingMessage): boolean;
	/** Whether a request may be taken up as it is read; otherwise its connection is to be scheduled. */
	mayTakeUp(arrivedAt: Millis): boolean;
	serve(request: ICallerRequest): void;
	/**
	 * Has `advance` called in a later turn of the event loop, after the connections that were scheduled before; what the caller had
	 * sent by now is read by then.
	 */
	schedule(connection: CallerConnection): void;
	/** Takes a turn to read a part of a body; otherwise `socket.feed` is called in a later turn of the event loop. */
	tryTakeReadTurn(connection: CallerConnection): boolean;
	/** Called when the number of requests that were taken up changes. */
	onTakenChange(difference: number): void;
	/** Called when the connection is closed early on this side. */
	onEarlyClose(cause: EarlyCloseCause): void;
}
