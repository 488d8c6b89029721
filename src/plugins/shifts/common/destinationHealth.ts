/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Checks whether the destination regions of a stage are fit to receive its traffic. */

import type { PlanStage } from '../../configuration/common/intents.js';
import type { RegisteredEntry } from '../../membership/common/entryRegistry.js';
import { MeasuredLoads } from '../../planning/common/measuredLoads.js';

/** Reports older than this are ignored. */
const MAX_REPORT_AGE_MS = 3000;
/** Utilization of a service above which its region receives no more traffic, as a fraction of the slots. */
const MAX_DESTINATION_UTILIZATION = 0.95;
/** Fraction of failed responses above which a region receives no more traffic. */
const MAX_FAILURE_RATIO = 0.1;
/** Minimum number of responses for the failure ratio to be evaluated. */
const MIN_RESPONSES = 10;

/**
 * Returns the reason why a stage must not begin now, or undefined if it may begin.
 * @param entries all known entry instances, including those with overdue reports
 */
export function findHoldReason(stage: PlanStage, entries: readonly RegisteredEntry[], now: number): string | undefined {
	const destinations = new Set(stage.moves.flatMap(move => move.ranges.map(range => range.region)));
	for (const region of [...destinations].sort()) {
		const regionEntries = entries.filter(entry => entry.report.identity.region === region);
		const recentEntries = regionEntries.filter(entry => now - entry.lastReportAt <= MAX_REPORT_AGE_MS);
		if (recentEntries.length === 0) {
			return `no reports from ${region} for ${MAX_REPORT_AGE_MS} ms`;
		}
		const overutilized = describeOverutilizedService(recentEntries, region, now);
		if (overutilized) {
			return overutilized;
		}
		const responses = recentEntries.reduce((sum, entry) => sum + entry.report.answers, 0);
		const failures = recentEntries.reduce((sum, entry) => sum + entry.report.failures, 0);
		if (responses >= MIN_RESPONSES && failures / responses > MAX_FAILURE_RATIO) {
			return `${failures} of ${responses} responses of targets in ${region} are failures`;
		}
	}
	return undefined;
}

function describeOverutilizedService(
	recentEntries: readonly RegisteredEntry[],
	region: string,
	now: number
): string | undefined {
	const found = new MeasuredLoads(recentEntries, now).loads.find(
		load => load.slots > 0 && load.used / load.slots > MAX_DESTINATION_UTILIZATION
	);
	return found && `${region} uses ${Math.round(found.used)} of ${found.slots} slots of ${found.service}`;
}
