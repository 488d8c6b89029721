/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The faults of one soak, drawn from its seed: the same seed gives the same faults at the same times. */

/** What may go wrong. */
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

/** One fault. */
export interface Fault {
	/** Milliseconds from the start of the faults. */
	readonly atMs: number;
	readonly kind: FaultKind;
	/** Draws the instance, target or link: a number in [0, 1). */
	readonly pick: number;
	/** How long it lasts, where it lasts. */
	readonly forMs: number;
}

const KINDS = Object.values(FaultKind);
const LEAST_GAP_MS = 150;
const MEAN_GAP_MS = 1300;
const LEAST_SPAN_MS = 300;
const MEAN_SPAN_MS = 1500;
const LONGEST_SPAN_MS = 6000;

/** Random numbers in [0, 1) from a seed (mulberry32). */
export function createRandom(seed: number): () => number {
	let state = seed >>> 0;
	return () => {
		state = (state + 0x6d2b79f5) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), state | 1);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
	};
}

function exponential(random: () => number, mean: number): number {
	return -Math.log(1 - random()) * mean;
}

/** The faults of a seed; they come in series and overlap. */
export function drawFaults(seed: number, lengthMs: number): Fault[] {
	const random = createRandom(seed);
	const faults: Fault[] = [];
	let atMs = 0;
	for (;;) {
		atMs += LEAST_GAP_MS + exponential(random, MEAN_GAP_MS);
		if (atMs >= lengthMs) {
			return faults;
		}
		const kind = KINDS[Math.floor(random() * KINDS.length)]!;
		const forMs = Math.min(LONGEST_SPAN_MS, LEAST_SPAN_MS + exponential(random, MEAN_SPAN_MS));
		faults.push({ atMs: Math.round(atMs), kind, pick: random(), forMs: Math.round(forMs) });
	}
}
