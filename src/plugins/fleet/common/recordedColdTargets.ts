/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Cold targets according to their records, for control instances that have received no heartbeat of them since their start. */

import type { Millis } from '../../../base/clock.js';
import { type FleetCommand, TargetPhase, type TargetRecord } from './fleetTypes.js';
import type { ColdTarget } from './fleetWire.js';

/** Covers clocks of control instances that differ, or that were stepped since the end was recorded. */
const CLOCK_TOLERANCE_MS: Millis = 5000;
/** Within this time the next sync reports the target again, or a heartbeat shows whether it is still cold. */
const MAX_LEFT_MS: Millis = 2000;

/**
 * Returns the targets that may still be cold. Their times are short, since entry instances never shorten them.
 * @param targets targets without a heartbeat
 * @param uncommitted commands that may be committed without this instance knowing
 * @param unixNow Unix milliseconds by the clock of this instance
 */
export function recordedColdTargets(
	targets: Iterable<TargetRecord>,
	uncommitted: readonly FleetCommand[],
	unixNow: number
): ColdTarget[] {
	const paceChanges = uncommitted.flatMap(command => (command.type === 'paceTargets' ? command.changes : []));
	const cold: ColdTarget[] = [];
	for (const { id, bornAt, phase, coldUntil } of targets) {
		const ends = paceChanges.filter(change => change.id === id && change.bornAt === bornAt);
		const lastEnd = Math.max(...[coldUntil, ...ends.map(change => change.coldUntil)].map(end => end ?? 0));
		const leftMs = lastEnd + CLOCK_TOLERANCE_MS - unixNow;
		if (phase !== TargetPhase.Gone && leftMs > 0) {
			cold.push({ id, leftMs: Math.min(leftMs, MAX_LEFT_MS) });
		}
	}
	return cold;
}
