/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** State of an owned target: slots, draining, latency and failures. Callers pass the time in. */

import type { Millis } from '../../../base/clock.js';
import type { ListedTarget } from './target.js';

/** Smoothing factor of the exponential moving average of the latency. */
const LATENCY_SAMPLE_WEIGHT = 0.2;
/** Consecutive failures after which a target is ejected. */
const EJECTION_THRESHOLD = 3;
const INITIAL_EJECTION_MS = 250;
const MAX_EJECTION_MS = 5000;
/** How long the platform must list a target as live without interruption before it gets requests again. */
const READMISSION_DELAY_MS = 1500;

/** Durations that depend on the service settings. */
export interface TargetTiming {
	/** Time over which the usable slots of a new or readmitted target grow to their full number. */
	readonly slowStartMs: Millis;
	/** How long a cancelled or failed request keeps its slot, as the target may still be processing it. */
	readonly cancelGraceMs: Millis;
}

/** Why a target gets no new requests; any of the reasons suffices. */
interface DrainReasons {
	byPlatformList: boolean;
	byOperator: boolean;
	byTarget: boolean;
	/** Since when the platform has listed the target as live without interruption. */
	listedLiveSince?: Millis;
}

/** Slots and health of one target. */
export class TargetSlots {
	private _outstanding = 0;
	private _latencyMs?: Millis;
	private _consecutiveFailures = 0;
	private _ejectedUntil = 0;
	private _ejectionMs = INITIAL_EJECTION_MS;
	private readonly _drained: DrainReasons = {
		byPlatformList: false,
		byOperator: false,
		byTarget: false
	};

	/**
	 * @param _slowStartAt start of the slow start; negative infinity to skip it
	 */
	constructor(
		readonly listed: ListedTarget,
		private _slowStartAt: Millis,
		private readonly _timing: TargetTiming
	) {}

	/** Number of occupied slots. */
	get outstanding(): number {
		return this._outstanding;
	}

	/** Moving average of the time to the first byte of a response; undefined before the first response. */
	get latencyMs(): Millis | undefined {
		return this._latencyMs;
	}

	/** Whether the target gets no new requests because it is about to stop or drained by an operator. */
	get isDraining(): boolean {
		return this._drained.byPlatformList || this._drained.byOperator || this._drained.byTarget;
	}

	/** Number of slots that may be occupied now, subject to draining, ejection and slow start. */
	usableSlots(now: Millis): number {
		if (this.isDraining) {
			return 0;
		}
		if (this._consecutiveFailures >= EJECTION_THRESHOLD) {
			return now < this._ejectedUntil ? 0 : 1;
		}
		const slowStartFraction = this._timing.slowStartMs === 0 ? 1 : (now - this._slowStartAt) / this._timing.slowStartMs;
		return Math.max(1, Math.min(this.listed.slots, Math.floor(this.listed.slots * slowStartFraction)));
	}

	/** Number of usable slots that are not occupied. */
	freeSlots(now: Millis): number {
		return Math.max(0, this.usableSlots(now) - this._outstanding);
	}

	/**
	 * Occupies a slot.
	 * @throws Error if all slots are occupied, which is a bug of the caller
	 */
	acquire(): void {
		if (this._outstanding >= this.listed.slots) {
			throw new Error(`target ${this.listed.name} has ${this.listed.slots} slots, all occupied`);
		}
		this._outstanding++;
	}

	/** @throws Error if no slot is occupied, which is a bug of the caller */
	release(): void {
		if (this._outstanding === 0) {
			throw new Error(`target ${this.listed.name}: slot released twice`);
		}
		this._outstanding--;
	}

	/**
	 * Also ends an ejection.
	 * @param latencyMs time to the first byte of the response
	 */
	recordResponse(latencyMs: Millis): void {
		this._consecutiveFailures = 0;
		this._ejectionMs = INITIAL_EJECTION_MS;
		this._latencyMs =
			this._latencyMs === undefined
				? latencyMs
				: this._latencyMs + (latencyMs - this._latencyMs) * LATENCY_SAMPLE_WEIGHT;
	}

	/** Records that the target could not be reached or that its response was interrupted. */
	recordFailure(now: Millis): void {
		this._consecutiveFailures++;
		if (this._consecutiveFailures >= EJECTION_THRESHOLD) {
			this._ejectedUntil = now + this._ejectionMs;
			this._ejectionMs = Math.min(MAX_EJECTION_MS, this._ejectionMs * 2);
		}
	}

	/** Records that the target itself announced that it accepts no new requests. */
	recordShutdownAnnouncement(): void {
		this._drained.byTarget = true;
		this._drained.listedLiveSince = undefined;
	}

	setDrainedByOperator(isDrained: boolean, now: Millis): void {
		if (this._drained.byOperator && !isDrained) {
			this._slowStartAt = now;
		}
		this._drained.byOperator = isDrained;
	}

	/** A draining target that is listed as live gets requests again only after `READMISSION_DELAY_MS`, as the list lags. */
	recordListedState(isListedLive: boolean, now: Millis): void {
		const drained = this._drained;
		if (!isListedLive) {
			drained.byPlatformList = true;
			drained.listedLiveSince = undefined;
			return;
		}
		drained.listedLiveSince ??= now;
		const isStable = now - drained.listedLiveSince >= READMISSION_DELAY_MS;
		if ((drained.byPlatformList || drained.byTarget) && isStable) {
			drained.byPlatformList = false;
			drained.byTarget = false;
			this._slowStartAt = now;
		}
	}
}

/** Multiple of the median latency of the available targets above which a target is an outlier. */
const OUTLIER_FACTOR = 3;
/** Minimum difference from the median latency for a target to be an outlier. */
const MIN_OUTLIER_DIFFERENCE_MS = 5;
/** How often an outlier gets a request to measure its latency again. */
const OUTLIER_PROBE_INTERVAL_MS = 2000;

/** Chooses among the targets with free slots: latency outliers last, then by lowest utilization and latency. */
export class TargetChooser {
	private readonly _lastProbeAt = new Map<string, Millis>();

	/** Returns undefined if no target has a free slot. */
	choose(targets: Iterable<TargetSlots>, now: Millis): TargetSlots | undefined {
		const free = [...targets].filter(target => target.freeSlots(now) > 0);
		if (free.length < 2) {
			return free[0];
		}
		const thresholdMs = outlierThresholdMs(free);
		const probe = free.find(target => this._isDueForProbe(target, thresholdMs, now));
		if (probe) {
			this._lastProbeAt.set(probe.listed.name, now);
			return probe;
		}
		const isOutlier = (target: TargetSlots): boolean => (target.latencyMs ?? 0) > thresholdMs;
		const utilization = (target: TargetSlots): number => target.outstanding / target.listed.slots;
		return free.sort(
			(a, b) =>
				Number(isOutlier(a)) - Number(isOutlier(b)) ||
				utilization(a) - utilization(b) ||
				(a.latencyMs ?? 0) - (b.latencyMs ?? 0)
		)[0];
	}

	private _isDueForProbe(target: TargetSlots, thresholdMs: Millis, now: Millis): boolean {
		if ((target.latencyMs ?? 0) <= thresholdMs) {
			return false;
		}
		return now - (this._lastProbeAt.get(target.listed.name) ?? 0) > OUTLIER_PROBE_INTERVAL_MS;
	}
}

function outlierThresholdMs(targets: readonly TargetSlots[]): Millis {
	const latencies = targets.map(target => target.latencyMs ?? 0).sort((a, b) => a - b);
	const median = latencies[Math.floor((latencies.length - 1) / 2)]!;
	return Math.max(median * OUTLIER_FACTOR, median + MIN_OUTLIER_DIFFERENCE_MS);
}
