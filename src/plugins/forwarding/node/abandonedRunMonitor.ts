/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Finds out what became of targets whose attempt was abandoned by this instance. Such an attempt has no lost connection of its own by which
 * the end of its target could be noticed, though the target may go on running the request and stop.
 */

import { type Millis, systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { Emitter } from '../../../base/event.js';
import type { TargetRecord } from '../../fleet/common/fleetTypes.js';
import type { ObservedLostRun } from '../../fleet/common/quarantineTypes.js';
import { AbandonedRunStatistics } from '../common/abandonedRunStatistics.js';
import type { TargetProbe } from './targets/targetProbe.js';

/** A target with abandoned runs is probed this often until all of them have expired. */
const PROBE_INTERVAL_MS: Millis = 400;
/** How long a target may go on running a request after its connection was closed; a later stop has another cause. */
const MAX_RUN_AFTER_ABANDON_MS: Millis = 1500;
/** Bounds the connections that probes open while many callers disconnect. */
const MAX_PROBES_PER_SECOND = 10;
/** Maximum number of runs that are watched; further ones are not. */
const MAX_RUNS = 512;

/** An abandoned run whose target stopped. */
export interface LostAbandonedRun {
	readonly run: ObservedLostRun;
	readonly target: TargetRecord;
}

interface WatchedRun {
	readonly run: ObservedLostRun;
	readonly abandonedAt: Millis;
	/** When the target was last known to run; later than `abandonedAt` if a probe has found it running. */
	runningAt: Millis;
}

interface WatchedTarget {
	readonly record: TargetRecord;
	runs: WatchedRun[];
	timer?: NodeJS.Timeout;
}

/** Watches the targets of abandoned runs for a while. */
export class AbandonedRunMonitor extends Disposable {
	private readonly _onDidLose = this._register(new Emitter<LostAbandonedRun>());
	/** Fires for each abandoned run whose target stopped, unless targets mostly go on after such runs of the request. */
	readonly onDidLose = this._onDidLose.event;
	private readonly _targets = new Map<string, WatchedTarget>();
	private readonly _statistics = new AbandonedRunStatistics();
	private _runCount = 0;
	private _probeTokens = MAX_PROBES_PER_SECOND;
	private _refilledAt: Millis = 0;

	constructor(private readonly _probe: TargetProbe) {
		super();
		this._register(toDisposable(() => this._targets.forEach(({ timer }) => clearTimeout(timer))));
	}

	/** Watches the target of a run that was abandoned at `run.endedAt`. */
	watch(run: ObservedLostRun, record: TargetRecord): void {
		if (this._runCount >= MAX_RUNS) {
			return;
		}
		const key = keyOf(record);
		const target = this._targets.get(key) ?? { record, runs: [] };
		this._targets.set(key, target);
		target.runs.push({ run, abandonedAt: run.endedAt, runningAt: run.endedAt });
		this._runCount++;
		this._scheduleProbe(target);
	}

	/** A connection to the target could not be established: probes it at once if it is watched. */
	checkNow(record: TargetRecord): void {
		const target = this._targets.get(keyOf(record));
		if (target) {
			void this._probeTarget(target);
		}
	}

	private _scheduleProbe(target: WatchedTarget): void {
		target.timer ??= setTimeout(() => void this._probeTarget(target), PROBE_INTERVAL_MS);
	}

	private async _probeTarget(target: WatchedTarget): Promise<void> {
		clearTimeout(target.timer);
		target.timer = undefined;
		const { id, address } = target.record;
		const probedRuns = new Set(target.runs);
		const isProbed = this._takeProbeToken();
		const hasStopped = isProbed && (await this._probe.refusesConnections(id, address));
		const now = systemClock.now();
		const lostRuns = hasStopped ? target.runs.filter(run => probedRuns.has(run)) : [];
		if (isProbed && !hasStopped) {
			probedRuns.forEach(run => this._recordRunning(run, now));
		}
		this._setRuns(
			target,
			target.runs.filter(run => now - run.abandonedAt < MAX_RUN_AFTER_ABANDON_MS && !lostRuns.includes(run))
		);
		lostRuns.forEach(run => this._recordLost(run, target.record, now));
	}

	private _recordRunning(run: WatchedRun, now: Millis): void {
		if (run.runningAt === run.abandonedAt && now - run.abandonedAt >= PROBE_INTERVAL_MS) {
			this._statistics.recordSurvived(run.run.digest, now);
			run.runningAt = now;
		}
	}

	private _recordLost({ run, abandonedAt, runningAt }: WatchedRun, target: TargetRecord, now: Millis): void {
		this._statistics.recordLost(run.digest, runningAt > abandonedAt, now);
		if (this._statistics.isSuspicious(run.digest)) {
			this._onDidLose.fire({ run: { ...run, runningAt, endedAt: now }, target });
		}
	}

	private _setRuns(target: WatchedTarget, runs: WatchedRun[]): void {
		this._runCount += runs.length - target.runs.length;
		target.runs = runs;
		if (runs.length > 0) {
			this._scheduleProbe(target);
		} else {
			clearTimeout(target.timer);
			this._targets.delete(keyOf(target.record));
		}
	}

	private _takeProbeToken(): boolean {
		const now = systemClock.now();
		const refill = ((now - this._refilledAt) / 1000) * MAX_PROBES_PER_SECOND;
		this._probeTokens = Math.min(MAX_PROBES_PER_SECOND, this._probeTokens + refill);
		this._refilledAt = now;
		if (this._probeTokens < 1) {
			return false;
		}
		this._probeTokens--;
		return true;
	}
}

function keyOf({ id, bornAt }: TargetRecord): string {
	return `${id} ${bornAt}`;
}
