/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Finds the target for a request among those that are known, and keeps to the pace of cold ones. */

import type { Millis } from '../../../base/clock.js';
import { rendezvousRank } from '../../../base/hashing.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import { RepeatRule } from '../../routes/common/routeTable.js';
import { findNewcomer } from '../common/newcomers.js';
import { type Place, PlacementPlans } from '../common/placementPlans.js';
import { type Candidate, chooseTarget } from '../common/targetChoice.js';
import type { Journey } from './journey.js';
import { TargetStates } from './targetStates.js';

/** How many instances share the pace of one cold target; few, so that each part is a whole request. */
const COLD_SHARERS = 2;
/**
 * Part of the pace that is used. Instances that were cut off know other neighbours than the rest and draw other sharers:
 * three such groups at once stay within what a cold target bears for a moment.
 */
const COLD_PACE_PART = 0.6;

/** Who and where this instance is. */
export interface NamedPlace extends Place {
	readonly name: string;
}

/** Chooses targets for the requests of this instance. */
export class TargetSelector {
	private readonly _states: TargetStates;
	private readonly _plans: PlacementPlans;

	/** @param regions every region, with or without targets */
	constructor(
		private readonly _view: FleetView,
		private readonly _own: NamedPlace,
		regions: readonly string[]
	) {
		this._states = new TargetStates(_view);
		this._plans = new PlacementPlans(_view, _own, regions);
	}

	/** The target for the next attempt of a request; undefined where none may have it now. */
	choose(journey: Journey, now: Millis): Candidate | undefined {
		const { route, service } = journey;
		const candidates = this._states.candidates(service, route.homeRegions, journey.tried, now);
		const chosen = this._newcomer(journey, candidates, now) ?? this._chooseKnown(journey, candidates, now);
		if (chosen && chosen.known.coldUntil > now) {
			chosen.state.takeColdToken(this._coldPace(chosen), now);
		}
		return chosen;
	}

	private _chooseKnown(journey: Journey, candidates: readonly Candidate[], now: Millis): Candidate | undefined {
		const { route, exchange, service } = journey;
		const isBound = route.isSticky && exchange.objectKey !== undefined;
		return chooseTarget(candidates, {
			objectKey: isBound ? `${route.pathPrefix} ${exchange.objectKey}` : undefined,
			...this._plans.planFor(service, route, now),
			now,
			mayUseCold: candidate => this._mayUseCold(candidate, now)
		});
	}

	/** A target that nobody may have asked yet; only a request that may run again goes there. */
	private _newcomer(journey: Journey, candidates: readonly Candidate[], now: Millis): Candidate | undefined {
		if (journey.route.repeatRule !== RepeatRule.Repeatable) {
			return undefined;
		}
		const { regionEntries } = this._view;
		return findNewcomer(
			candidates,
			this._own.region,
			this._own.name,
			regionEntries,
			candidate => candidate.known.coldUntil <= now || this._mayUseCold(candidate, now)
		);
	}

	private _mayUseCold(candidate: Candidate, now: Millis): boolean {
		return candidate.state.hasColdToken(this._coldPace(candidate), now);
	}

	/**
	 * This instance's part of a cold target's pace. A few instances of the target's own region share it, drawn by hash so
	 * that all agree.
	 */
	private _coldPace(candidate: Candidate): number {
		const { record, region } = candidate.known;
		if (region !== this._own.region) {
			return 0;
		}
		const perSecond = this._view.routes?.service(record.service)?.coldPerSecond ?? 0;
		const sharers = rendezvousRank(record.id, this._view.regionEntries).slice(0, COLD_SHARERS);
		return sharers.includes(this._own.name) ? (COLD_PACE_PART * perSecond) / sharers.length : 0;
	}
}
