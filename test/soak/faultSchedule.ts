/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Generates the fault schedule of a soak test run from a seed. The same seed gives the same faults at the same times. */

/** Kinds of injected faults. The values are written to the report. */
export enum FaultKind {
	KillEntry = 'kill-entry',
	KillControl = 'kill-control',
	KillAllControls = 'kill-all-controls',
	PauseEntry = 'pause-entry',
	PauseControl = 'pause-control',
	StopEntry = 'stop-entry',
	WipeControl = 'wipe-control',
	ReloadSettings = 'reload-settings',
	DelayLink = 'delay-link',
	ResetLink = 'reset-link',
	CutRequests = 'cut-requests',
	CutAnswers = 'cut-answers',
	CrashTarget = 'crash-target',
	DrainTarget = 'drain-target',
	PublishTable = 'publish-table',
	RaceTables = 'race-tables'
}

/** One scheduled fault. The fields are written to the report. */
export interface Fault {
	/** Start of the fault, in milliseconds after the start of the schedule. */
	readonly atMs: number;
	readonly kind: FaultKind;
	/** Selects the affected instance, target or link: a fraction in [0, 1) of the list. */
	readonly pick: number;
	/** Duration in milliseconds; ignored by kinds of faults that have no duration. */
	readonly forMs: number;
}

const KINDS = Object.values(FaultKind);
const MIN_GAP_MS = 150;
const MEAN_EXTRA_GAP_MS = 1300;
const MIN_DURATION_MS = 300;
const MEAN_EXTRA_DURATION_MS = 1500;
const MAX_DURATION_MS = 6000;

/** Returns a seeded generator of pseudo-random numbers in [0, 1) (mulberry32). */
export function createRandom(seed: number): () => number {
	let state = seed >>> 0;
	return () => {
		state = (state + 0x6d2b79f5) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), state | 1);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
	};
}

function sampleExponential(random: () => number, mean: number): number {
	return -Math.log(1 - random()) * mean;
}

/** Returns the faults of a seed in order of their start. Consecutive faults may overlap. */
export function generateFaults(seed: number, lengthMs: number): Fault[] {
	const random = createRandom(seed);
	const faults: Fault[] = [];
	let atMs = 0;
	for (;;) {
		atMs += MIN_GAP_MS + sampleExponential(random, MEAN_EXTRA_GAP_MS);
		if (atMs >= lengthMs) {
			return faults;
		}
		const kind = KINDS[Math.floor(random() * KINDS.length)]!;
		const forMs = Math.min(MAX_DURATION_MS, MIN_DURATION_MS + sampleExponential(random, MEAN_EXTRA_DURATION_MS));
		faults.push({ atMs: Math.round(atMs), kind, pick: random(), forMs: Math.round(forMs) });
	}
}
