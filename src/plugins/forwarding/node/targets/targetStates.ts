/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The states of all targets at this instance, and the candidates for a request. */

import { type Millis } from '../../../../base/clock.js';
import type { FleetView, ITargetWitness, KnownTarget } from '../../../fleet/common/fleetView.js';
import type { ITargetRoom } from '../../../limits/common/targetLimits.js';
import type { Candidate } from '../../common/placement/targetChoice.js';
import { RegionLoad } from '../../common/placement/regionLoad.js';
import { TargetState } from '../../common/targets/targetState.js';

const SWEEP_INTERVAL_MS = 10000;

/** What a request may choose from. */
export interface Candidates {
	readonly candidates: readonly Candidate[];
	/** Targets that could have it, but want to be left alone for now, or are at their limit. */
	readonly resting: readonly Candidate[];
	/** Regions with targets, tried or not, that are neither silent nor out of reach. */
	readonly standing: ReadonlySet<string>;
}

/** States by target id; those of targets that are gone are dropped. */
export class TargetStates implements ITargetWitness {
	private readonly _states = new Map<string, TargetState>();
	private readonly _regionLoads = new Map<string, RegionLoad>();
	private _sweptAt: Millis = 0;

	constructor(
		private readonly _view: FleetView,
		private readonly _room: ITargetRoom
	) {
		_view.setWitness(this);
	}

	answeredAt(id: string): Millis | undefined {
		return this._states.get(id)?.answeredAt;
	}

	unreachableAt(id: string): Millis | undefined {
		return this._states.get(id)?.unreachableAt;
	}

	/** The state of one target. */
	stateOf(target: KnownTarget): TargetState {
		const { id, bornAt, slots } = target.record;
		let state = this._states.get(id);
		if (state?.bornAt !== bornAt) {
			state = new TargetState(id, bornAt, slots, this._regionLoadOf(target));
			this._states.set(id, state);
		}
		return state;
	}

	/**
	 * Targets of a service that may get a request, and the regions that are not known to be without any. Targets that said that they
	 * leave, or whose address another one has, are not among them.
	 * @param mayAsk whether another instance may be asked for a permit within a target's limit
	 */
	candidates(
		service: string,
		homeRegions: readonly string[],
		tried: ReadonlySet<string>,
		mayAsk: boolean,
		now: Millis
	): Candidates {
		this._sweep(now);
		const candidates: Candidate[] = [];
		const resting: Candidate[] = [];
		const standing = new Set<string>();
		for (const known of this._view.targetsOf(service)) {
			const isAtHome = homeRegions.length === 0 || homeRegions.includes(known.region);
			if (!isAtHome || this._view.isDrained(known.record.hall)) {
				continue;
			}
			const state = this.stateOf(known);
			if (state.isReplaced || state.rest.isLeaving) {
				continue;
			}
			if (!known.isSilent && !state.isUnreachable(now)) {
				standing.add(known.region);
			}
			if (!tried.has(known.record.id)) {
				const takesOne = !state.rest.isAsked(now) && this._room.isOpen(known.record, mayAsk, now);
				(takesOne ? candidates : resting).push({ known, state });
			}
		}
		return { candidates, resting, standing };
	}

	/** How many targets of each service want nothing now, of those that control names. */
	restingByService(now: Millis): ReadonlyMap<string, number> {
		const counts = new Map<string, number>();
		for (const [id, { rest }] of this._states) {
			const service = rest.isAsked(now) ? this._view.target(id)?.record.service : undefined;
			if (service !== undefined) {
				counts.set(service, (counts.get(service) ?? 0) + 1);
			}
		}
		return counts;
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
			if (!this._view.target(id) && state.inFlight === 0 && !state.rest.isToBeKept(now)) {
				this._states.delete(id);
			}
		}
	}
}
