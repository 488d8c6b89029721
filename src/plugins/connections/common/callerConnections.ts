/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Interface of the service that accepts callers' connections and hands over their requests in an order in which each can be answered. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Millis } from '../../../base/clock.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';

/** A request that has been taken up; requests of one connection are answered in the order in which they came. */
export interface ICallerRequest {
	readonly request: IncomingMessage;
	/** Its data is held back until the responses before it were sent. */
	readonly response: ServerResponse;
	/** When its first bytes arrived at the earliest, on the monotonic clock: they may have waited to be read. */
	readonly arrivedAt: Millis;
	/** Whether there is memory for its response; otherwise it is to be refused. */
	readonly hasRoom: boolean;
	/** Whether the response has to announce that the connection closes; to be read when its headers are written. */
	readonly closesConnection: boolean;
	/**
	 * Makes the response the last of its connection, as for one whose end is the end of the connection.
	 * @returns false where requests behind it have been taken up, whose responses have to follow
	 */
	tryCloseConnection(): boolean;
	/**
	 * Prepares for a response whose end cannot be told from a connection that breaks off: one without a length or chunks. Until all of it
	 * was sent, the connection ends with a reset, also when this process is killed.
	 * @returns false where that is not possible, or requests behind it have been taken up, whose responses have to follow
	 */
	tryBeginUnframed(): boolean;
	/** Closes the connection once the responses before this one were sent, with a reset if its end would pass for the end of the response. */
	abort(withReset: boolean): void;
	/** Sets the callback for the end of the exchange; `isComplete` tells whether the whole response was sent. */
	setCloseHandler(callback: (isComplete: boolean) => void): void;
}

/** How connections are accepted, and what serves their requests. */
export interface CallerConnectionOptions {
	/** IPv4 address and port. */
	readonly address: string;
	readonly maxConnections: number;
	readonly maxHeaderBytes: number;
	/** A connection is closed if its caller reads none of the data that waits for it between two checks at this interval. */
	readonly unreadTimeoutMs: Millis;
	/** How long a connection may be idle between two requests. */
	idleTimeoutMs(): Millis;
	/** Time from the first byte of a request until its headers are complete. */
	headerTimeoutMs(): Millis;
	/** Whom bytes of a request are held for beside its connection; undefined for nobody. */
	ownerOf(request: IncomingMessage): string | undefined;
	/** Whether a request may be served while others of its connection are. */
	isRepeatable(request: IncomingMessage): boolean;
	/**
	 * Serves a request that was taken up.
	 * @returns false where it was refused at once
	 */
	serve(request: ICallerRequest): boolean;
}

/** Connections of callers. */
export interface ICallerConnections {
	/** Requests that were taken up and are not answered yet. */
	readonly inFlight: number;
	/** Connections that were closed on this side and whose callers may still be reading the last response. */
	readonly closing: number;
	/** Opens the listener. */
	listen(options: CallerConnectionOptions): Promise<void>;
	/**
	 * Closes idle connections and ends the taking up on all others: requests that were taken up are answered, and the last response
	 * announces the close. Connections that are accepted afterwards are closed after their first response.
	 */
	endTakingUp(): void;
	/** Stops accepting connections, and closes idle ones. */
	stopAccepting(): void;
}

/** Service identifier of {@link ICallerConnections}. */
export const ICallerConnections = createServiceIdentifier<ICallerConnections>('callerConnections');
