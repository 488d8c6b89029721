/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What callers, targets and the operator of a soak saw; the rules are checked by this alone. */

import type { SeenRequest } from '../platform/standInTarget.js';

/** One request as its caller saw it. Times are milliseconds of one clock. */
export interface CallerRecord {
	readonly id: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly entry: string;
	readonly sentAt: number;
	endedAt: number;
	/** Undefined where the connection ended without an answer. */
	status?: number;
	stamp?: string;
	body?: string;
	/** Whether a whole answer arrived. */
	isWhole: boolean;
}

/** One run at a target. */
export interface RunRecord extends SeenRequest {
	readonly target: string;
}

/** An order of the operator, and how it was answered. */
export interface PublishRecord {
	readonly base: number;
	readonly version: number;
	readonly status?: number;
}

/** A time in which the system was not whole. */
export interface Disturbance {
	readonly what: string;
	readonly from: number;
	to: number;
}

/** Everything that was seen. */
export class Observations {
	readonly requests: CallerRecord[] = [];
	readonly published: PublishRecord[] = [];
	readonly disturbances: Disturbance[] = [];
	/** Version that was read back at the end; undefined where nobody answered. */
	finalVersion?: number;

	/** Notes a fault from now on. */
	disturb(what: string, forMs: number): void {
		const now = performance.now();
		this.disturbances.push({ what, from: now, to: now + forMs });
	}
}
