/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Settings and report of the simulation of entry instances. */

import type { Millis } from '../../src/base/clock.js';
import type { RequestRank } from '../../src/plugins/admission/common/requestRank.js';
import type { IReturnTimes } from '../../src/plugins/admission/common/returnTimes.js';
import type { IShortageAdmission } from '../../src/plugins/admission/common/shortageAdmission.js';
import type { WorkTimes } from '../../src/plugins/placement/common/workProfile.js';
import type { FleetModel } from './fleetModel.js';
import type { LimitEnforcement } from './limitModel.js';
import type { TargetModelSettings } from './targetModel.js';

/** Callers of one rank and one team. */
export interface CallerGroup {
	readonly name: string;
	readonly rank: RequestRank;
	readonly teamName?: string;
	readonly requestsPerSecond: number;
}

/** Totals of the requests of one group of callers. */
export interface GroupReport {
	requests: number;
	inTime: number;
	refused: number;
}

/** Size, load and faults of a simulation. */
export interface FleetModelSettings {
	readonly seed: number;
	/** Number of targets by region; instances and callers are distributed evenly over the regions. */
	readonly targets: Readonly<Record<string, number>>;
	readonly instances: number;
	/** Number of objects that the callers of each region request, all with the same frequency. */
	readonly objectsPerRegion: number;
	/** How unevenly objects are requested: the exponent of a power of a uniform random number; 1, all alike, if omitted. */
	readonly objectSkew?: number;
	/** Mean request rate of all callers together. */
	readonly requestsPerSecond: number;
	/** Factor on the request rate, by the time since the first request; 1 if omitted. */
	readonly loadFactor?: (sinceStartMs: Millis) => number;
	/** Relative number of callers of a region, by the time since the first request; 1 if omitted. Control then tells the demand that instances report. */
	readonly regionFactor?: (region: string, sinceStartMs: Millis) => number;
	/** The region at whose instances the callers of a region arrive, by the time since the first request and a random number in [0, 1); their own if omitted. */
	readonly entryRegion?: (region: string, sinceStartMs: Millis, randomValue: number) => string;
	/** Delay after which a refused caller retries once; callers do not retry if omitted. */
	readonly callerRetryMs?: Millis;
	/** Creates the return times of an instance, by which a refused caller returns once; instead of `callerRetryMs`. */
	readonly createReturnTimes?: () => IReturnTimes;
	/** Time after which callers give up; needed with `createReturnTimes`. */
	readonly callerTimeoutMs?: Millis;
	/** Latency objective of callers. */
	readonly objectiveMs: Millis;
	readonly target: TargetModelSettings;
	/** Fraction of requests without an object key, 0 to 1; 0 if omitted. */
	readonly keylessRatio?: number;
	/** How instances enforce the rate limits of targets; `permits` if omitted. */
	readonly limitEnforcement?: LimitEnforcement;
	/** Fraction of calls between instances that get no response, 0 to 1; 0 if omitted. */
	readonly callLossRatio?: number;
	/** Time over which targets register before the first request; 0 if omitted. Instances run from the start. */
	readonly registrationMs?: Millis;
	/** Time since the first request from which cache misses count as later ones; 0 if omitted. */
	readonly steadyAfterMs?: Millis;
	/** Time after which the caller of a request no longer waits for the response; 10 s if omitted. */
	readonly timeoutMs?: Millis;
	/** Work times of the route, as instances know them; not known if omitted. */
	readonly workTimes?: WorkTimes;
	/** Selects targets in place of the instances' selectors, from the true state of all targets. */
	readonly selectById?: (object: string, region: string, model: FleetModel) => string | undefined;
	/** The callers; their rates add up to `requestsPerSecond`. All alike if omitted. */
	readonly groups?: readonly CallerGroup[];
	/** Creates the admission under shortage of each instance; all requests are admitted alike if omitted. */
	readonly createAdmission?: () => IShortageAdmission;
}

/** Totals of a simulation. */
export interface SimulationReport {
	readonly requests: number;
	readonly inTime: number;
	readonly late: number;
	readonly refused: number;
	/** Responses that came after the timeout of their caller. */
	readonly inVain: number;
	/** Attempts that a target rejected. */
	readonly rejected: number;
	/** Attempts that a target rejected while it had requested backoff from the instance, other than those sent before that was known. */
	readonly rejectedDuringBackoff: number;
	/** Maximum arrivals at a target with a rate limit in any 4 s, relative to what it allows; the first 4 s of each limit are not counted. */
	readonly peakLimitUtilization: number;
	/** Arrivals relative to the rate limit, as the mean over all limits; the first 4 s of each limit are not counted. NaN if there was no limit. */
	readonly meanLimitUtilization: number;
	/** Calls to other instances that requested a permit of a rate limit. */
	readonly permitCalls: number;
	/** Attempts started by a target that did not have their object cached. */
	readonly cacheMisses: number;
	/** Attempts started by a target that did not have their object cached, from `steadyAfterMs` on. */
	readonly laterCacheMisses: number;
	/** Largest fraction of a region's first attempts that changed their region between adjacent windows of 2 s. */
	readonly maxMovedFraction: number;
	/** Number of different objects requested; the minimum of `cacheMisses` if each of them is served. */
	readonly distinctObjects: number;
	/** Arrivals at the busiest target relative to the mean over all targets. */
	readonly peakToMeanArrivals: number;
	/** Requests answered within the objective, by the second in which they were first sent, counted from the start of the load. */
	readonly inTimeBySecond: readonly number[];
	/** Totals by group of callers. */
	readonly groups: Readonly<Record<string, Readonly<GroupReport>>>;
	/** Fraction of the time of all slots that was used while requests were sent, 0 to 1. */
	readonly slotsUsed: number;
}
