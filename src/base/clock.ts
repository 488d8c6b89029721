/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Time sources. Decisions use the monotonic clock; the wall clock serves only for dates, output and detecting suspensions. */

/** A duration, or a point in time on the monotonic clock, in milliseconds. */
export type Millis = number;

/** Time source of a component; tests substitute a clock that they advance themselves. */
export interface IClock {
	/** Monotonic time in milliseconds from an arbitrary origin; it advances while the process is stopped by SIGSTOP. */
	now(): Millis;
	/** Wall-clock time as Unix milliseconds. */
	wallNow(): number;
}

/** Start time of this process; the origin of its monotonic clock. */
export const PROCESS_STARTED_AT: Millis = 0;

/** The clock of the operating system. */
export const systemClock: IClock = {
	now: () => performance.now(),
	wallNow: () => Date.now()
};
