/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What came of sending a request to one target. */

import type { Readable } from 'node:stream';

/** Headers as name and value in turn, as they stood on the wire. */
export type RawHeaders = readonly string[];

/** A whole answer, or its beginning with the rest to come. */
export interface TargetAnswer {
	readonly type: 'answer';
	readonly status: number;
	readonly rawHeaders: RawHeaders;
	/**
	 * Whether the answer has no length and ends with its connection. It is passed on in the same way: nobody can tell
	 * whether it was whole, so it must not be framed as if it were.
	 */
	readonly endsWithConnection: boolean;
	/** The body, or its beginning. */
	readonly body: Buffer;
	/** The rest of the body; absent when `body` is all of it. It fails when the target breaks off. */
	readonly rest?: Readable;
}

/** Certain not to have run: never written, or refused by the target. */
export interface NotRun {
	readonly type: 'not-run';
	/** Whether it reached the target, which turned it away. */
	readonly hasArrived: boolean;
	readonly cause: NotRunCause;
}

/** Why a target did not run a request. */
export enum NotRunCause {
	/** No connection came up. */
	NoConnection = 'no-connection',
	/** The target is full or its queue is too long. */
	Full = 'full',
	/** The target turned it away though it has room by its own word. */
	Shed = 'shed',
	/** Another target has the address now. */
	OtherTarget = 'other-target',
	/** The target said that it wants nothing more before the request was written to it. */
	AtRest = 'at-rest',
	/** All instances together send the target what it takes, or its word on that came before the request was written. */
	AtLimit = 'at-limit',
	/** This instance's part of the connections that the target accepts is in use. */
	ConnectionsInUse = 'connections-in-use',
	/** Any other refusal by the target. */
	Refused = 'refused'
}

/** Why an attempt that may have run has no whole answer of its own. */
export enum BrokenCause {
	/** The connection ended before any answer came. */
	ConnectionLost = 'connection-lost',
	/** The connection ended in the middle of the answer. */
	BrokenOff = 'broken-off',
	/** What came belongs to another request. */
	OtherAnswer = 'other-answer',
	/** What came is not HTTP. */
	Garbled = 'garbled'
}

/** It may have run; its answer is missing, broken or another request's. */
export interface Broken {
	readonly type: 'broken';
	readonly cause: BrokenCause;
	/** What the connection said, for the log. */
	readonly detail?: string;
}

/** The attempt was ended by this system: the caller left, or its time is over. */
export interface Abandoned {
	readonly type: 'abandoned';
	/** Whether the request may have reached the target. */
	readonly mayHaveRun: boolean;
}

/** Any outcome of one attempt. */
export type AttemptOutcome = TargetAnswer | NotRun | Broken | Abandoned;
