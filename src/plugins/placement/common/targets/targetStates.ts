/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** States of all targets at this instance, and selection of the candidates for a request. */

import { type Millis } from '../../../../base/clock.js';
import type { FleetView, ITargetReachability, KnownTarget } from '../../../fleet/common/fleetView.js';
import type { ITargetLimitStatus } from '../../../limits/common/targetLimits.js';
import type { Candidate } from '../targetChoice.js';
import { RegionLoad } from '../regionLoad.js';
import { type FactorSummary, ServiceSpeed } from './serviceSpeed.js';
import { TargetState } from './targetState.js';

const SWEEP_INTERVAL_MS = 10000;

/** Targets to select from for a request. */
export interface Candidates {
	readonly candidates: readonly Candidate[];
	/** Targets that can't be used now because they asked for backoff or have reached their rate limit. */
	readonly deferred: readonly Candidate[];
	/** Regions with at least one target, tried or not, that is neither silent nor unreachable. */
	readonly reachableRegions: ReadonlySet<string>;
}

/** Target states by id. States of targets that have left the fleet view are removed. */
export class TargetStates implements ITargetReachability {
	private readonly _states = new Map<string, TargetState>();
	private readonly _regionLoads = new Map<string, RegionLoad>();
	private readonly _serviceSpeeds = new Map<string, ServiceSpeed>();
	private _sweptAt: Millis = 0;

	/** @param _isRanked whether ranks decide who gets scarce slots */
	constructor(
		private readonly _view: FleetView,
		private readonly _limitStatus: ITargetLimitStatus,
		private readonly _isRanked = false
	) {
		_view.setReachability(this);
	}

	answeredAt(id: string): Millis | undefined {
		return this._states.get(id)?.answeredAt;
	}

	unreachableAt(id: string): Millis | undefined {
		return this._states.get(id)?.unreachableAt;
	}

	/** Forgets failures of all targets, after it turned out that the links of this instance had failed. */
	forgetFailures(): void {
		for (const state of this._states.values()) {
			state.forgetFailures();
		}
	}

	/** The state of a target; a new one if the target has restarted. */
	stateOf(target: KnownTarget): TargetState {
		const { id, bornAt, slots, service } = target.record;
		let state = this._states.get(id);
		if (state?.bornAt !== bornAt) {
			state = new TargetState(id, bornAt, slots, this._regionLoadOf(target), this.speedOf(service));
			state.serviceName = service;
			this._states.set(id, state);
		} else if (state.serviceName !== service) {
			state.serviceName = service;
			state.speed.service = this.speedOf(service);
		}
		return state;
	}

	/**
	 * The targets of a service that a request may be sent to. Targets that have announced their shutdown, or whose address
	 * belongs to another target now, are left out.
	 * @param homeRegions regions to which the request is restricted; empty for no restriction
	 * @param tried ids of targets to leave out
	 * @param mayRequestPermit whether another instance may be asked for a permit within a target's rate limit
	 */
	candidates(
		service: string,
		homeRegions: readonly string[],
		tried: ReadonlySet<string>,
		mayRequestPermit: boolean,
		now: Millis
	): Candidates {
		this._sweep(now);
		const candidates: Candidate[] = [];
		const deferred: Candidate[] = [];
		const reachableRegions = new Set<string>();
		for (const known of this._view.targetsOf(service)) {
			const isAtHome = homeRegions.length === 0 || homeRegions.includes(known.region);
			if (!isAtHome || this._view.isDrained(known.record.hall)) {
				continue;
			}
			const state = this.stateOf(known);
			if (state.isReplaced || state.backoff.isLeaving) {
				continue;
			}
			if (!known.isSilent && !state.isUnreachable(now)) {
				reachableRegions.add(known.region);
			}
			if (!tried.has(known.record.id)) {
				const isAvailable =
					!state.backoff.isActive(now) && this._limitStatus.hasCapacity(known.record, mayRequestPermit, now);
				(isAvailable ? candidates : deferred).push({ known, state });
			}
		}
		return { candidates, deferred, reachableRegions };
	}

	/** Number of targets in the fleet view that are backed off now, by service. */
	backedOffByService(now: Millis): ReadonlyMap<string, number> {
		const counts = new Map<string, number>();
		for (const [id, { backoff }] of this._states) {
			const service = backoff.isActive(now) ? this._view.target(id)?.record.service : undefined;
			if (service !== undefined) {
				counts.set(service, (counts.get(service) ?? 0) + 1);
			}
		}
		return counts;
	}

	/** Speed of a service's targets. */
	speedOf(service: string): ServiceSpeed {
		let speed = this._serviceSpeeds.get(service);
		if (!speed) {
			speed = new ServiceSpeed(this._isRanked);
			this._serviceSpeeds.set(service, speed);
		}
		return speed;
	}

	/** Work time factors by service, for services whose targets report them. */
	factorsByService(now: Millis): ReadonlyMap<string, FactorSummary> {
		const largest = new Map<string, number>();
		for (const [id, { speed }] of this._states) {
			const service = this._view.target(id)?.record.service;
			if (service !== undefined) {
				largest.set(service, Math.max(largest.get(service) ?? 0, speed.factor(now)));
			}
		}
		const summaries = [...this._serviceSpeeds]
			.filter(([, speed]) => speed.isReported(now) || speed.invalidReports > 0)
			.map(([service, speed]) => {
				const mean = speed.meanFactor();
				const { invalidReports } = speed;
				return [service, { mean, largest: largest.get(service) ?? mean, invalidReports }] as const;
			});
		return new Map(summaries);
	}

	private _regionLoadOf({ record, region }: KnownTarget): RegionLoad {
		const key = `${record.service} ${region}`;
		let load = this._regionLoads.get(key);
		if (!load) {
			load = new RegionLoad();
			this._regionLoads.set(key, load);
		}
		return load;
	}

	private _sweep(now: Millis): void {
		if (now - this._sweptAt < SWEEP_INTERVAL_MS) {
			return;
		}
		this._sweptAt = now;
		for (const [id, state] of this._states) {
			if (!this._view.target(id) && state.inFlight === 0 && !state.backoff.mustBeRetained(now)) {
				this._states.delete(id);
			}
		}
		const services = new Set([...this._states.values()].map(state => state.serviceName));
		for (const service of this._serviceSpeeds.keys()) {
			if (!services.has(service)) {
				this._serviceSpeeds.delete(service);
			}
		}
	}
}
