/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What callers, targets and the operator of a soak test observed. The rules are checked against these records only. */

import type { ReceivedRequest } from '../platform/testTarget.js';

/** One request as its caller observed it. Times are in milliseconds of `performance.now()`. */
export interface CallerRecord {
	readonly id: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly entry: string;
	readonly sentAt: number;
	endedAt: number;
	/** Undefined if the connection ended without a response. */
	status?: number;
	serverStamp?: string;
	body?: string;
	/** Whether the complete response was received. */
	isComplete: boolean;
}

/** One execution of a request at a target. */
export interface ExecutionRecord extends ReceivedRequest {
	readonly target: string;
}

/** A configuration that the operator published on top of version `base`, and the response status, if any. */
export interface PublishRecord {
	readonly base: number;
	readonly version: number;
	readonly status?: number;
}

/** An injected fault with its start and end, in milliseconds of `performance.now()`. */
export interface InjectedFault {
	readonly kind: string;
	readonly from: number;
	to: number;
}

/** All records of one soak test run. */
export class Observations {
	readonly requests: CallerRecord[] = [];
	readonly published: PublishRecord[] = [];
	readonly injectedFaults: InjectedFault[] = [];
	/** Configuration version that was read at the end; undefined if no control instance responded. */
	finalVersion?: number;

	/** Records a fault that starts now. */
	recordFault(kind: string, durationMs: number): void {
		const now = performance.now();
		this.injectedFaults.push({ kind, from: now, to: now + durationMs });
	}
}
