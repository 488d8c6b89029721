/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Time sources. Decisions use the monotonic clock; the wall clock is for people and dates only. */

/** A span or a point on the monotonic clock, in milliseconds. */
export type Millis = number;

/** Where a component reads time from, so that tests can drive it. */
export interface IClock {
	/** Monotonic milliseconds since an arbitrary start; it goes on while the process is stopped by SIGSTOP. */
	now(): Millis;
	/** Milliseconds since 1970 by the wall clock. */
	wallNow(): number;
}

/** When this process started, on its own monotonic clock, which counts from there. */
export const PROCESS_STARTED_AT: Millis = 0;

/** The clock of the operating system. */
export const systemClock: IClock = {
	now: () => performance.now(),
	wallNow: () => Date.now()
};
