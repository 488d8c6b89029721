/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Service interface for dispatching requests from an entry instance to targets. */

import type { IncomingHttpHeaders } from 'node:http';
import type { Millis } from '../../../base/clock.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';

/** A validated request of a caller. */
export interface DispatchRequest {
	readonly requestId: string;
	readonly service: string;
	readonly group: string;
	readonly method: string;
	/** Path and query to send to the target. */
	readonly path: string;
	/** Headers to send to the target, without hop-by-hop headers and headers of shelffield. */
	readonly headers: IncomingHttpHeaders;
	readonly body: Buffer;
	/** Time on the monotonic clock of this process. */
	readonly deadline: Millis;
	/** Whether the deadline, as one set by the caller, applies to the end of the response; otherwise only to its start. */
	readonly isDeadlineStrict: boolean;
	readonly orderKey?: string;
	/** Whether it may be executed more than once. */
	readonly isRepeatable: boolean;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
}

/** Receives the response of a target as a stream. */
export interface ResponseSink {
	/**
	 * Passes the status and the headers; called at most once.
	 * @param headers names and values in turn
	 * @param endsWithConnection whether only the close of the target's connection tells where the body ends (RFC 9112, section 6.3).
	 * Such a response goes to the caller in the same form: a length or chunks would vouch for an end that nobody stated.
	 */
	start(status: number, headers: readonly string[], endsWithConnection: boolean): void;
	/** Passes a chunk of the body; returns false if the caller should pause until `onDrain` calls back. */
	write(chunk: Buffer): boolean;
	/** Calls back when writing may resume. */
	onDrain(callback: () => void): void;
	/** Ends a complete response. */
	end(): void;
	/** Ends a response that was interrupted after its start, so that its reader can tell it from a complete one. */
	abort(): void;
}

/** Result of a request that a target responded to. */
export interface DispatchResult {
	readonly target: string;
	readonly status: number;
	/** Time from the arrival of the request to the end of the response, in milliseconds. */
	readonly totalMs: Millis;
	/** Part of `totalMs` that the request was queued. */
	readonly queuedMs: Millis;
}

/** Dispatches requests to targets. */
export interface IDispatch {
	/** Whether every service has usable slots, at this instance or at another one of the region. */
	isReady(): boolean;
	hasService(service: string): boolean;
	/** Names of the services, for error messages. */
	readonly services: readonly string[];
	/** Maximum size of a request body, in bytes. */
	maxBodyBytes(service: string): number;
	/** Time limit for requests without a deadline, in milliseconds. */
	defaultDeadlineMs(service: string): Millis;
	/**
	 * Sends a request to a target and streams the response into the sink.
	 * @throws RequestError if the request was refused, cancelled or failed; the sink may have been started by then
	 */
	dispatch(request: DispatchRequest, sink: ResponseSink): Promise<DispatchResult>;
}

/** Service identifier. */
export const IDispatch = createServiceIdentifier<IDispatch>('dispatch');
