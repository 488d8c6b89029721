/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Finds the target for a request among those that are known, and keeps to the pace of cold ones. */

import type { Millis } from '../../../base/clock.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import { RepeatRule } from '../../routes/common/routeTable.js';
import { findNewcomer } from '../common/newcomers.js';
import type { Event } from '../../../base/event.js';
import { type Place, PlacementPlans, type ServiceShareStep } from '../common/placementPlans.js';
import type { ShiftBounds } from '../common/regionShares.js';
import { type Candidate, chooseTarget, type ChosenTarget } from '../common/targetChoice.js';
import type { Journey } from './journey.js';
import { TargetStates } from './targetStates.js';

/** Part of a cold target's pace that is used: requests that were spread over time may arrive closer together. */
const COLD_PACE_PART = 0.6;

/** Who and where this instance is. */
export interface NamedPlace extends Place {
	readonly name: string;
}

/** Chooses targets for the requests of this instance. */
export class TargetSelector {
	private readonly _states: TargetStates;
	private readonly _plans: PlacementPlans;
	/** Fires when shares between regions moved further at once than their pace allows within a second. */
	readonly onDidStepFar: Event<ServiceShareStep>;

	/** @param regions every region, with or without targets */
	constructor(
		private readonly _view: FleetView,
		private readonly _own: NamedPlace,
		regions: readonly string[],
		shifts: ShiftBounds
	) {
		this._states = new TargetStates(_view);
		this._plans = new PlacementPlans(_view, _own, regions, shifts);
		this.onDidStepFar = this._plans.onDidStepFar;
	}

	/** The target for the next attempt of a request; undefined where none may have it now. */
	choose(journey: Journey, now: Millis): ChosenTarget | undefined {
		const { route, service } = journey;
		const candidates = this._states.candidates(service, route.homeRegions, journey.tried, now);
		const chosen = this._newcomer(journey, candidates, now) ?? this._chooseKnown(journey, candidates, now);
		if (chosen && chosen.known.coldUntil > now) {
			chosen.state.takeColdToken(this._coldPace(chosen), now);
		}
		return chosen;
	}

	private _chooseKnown(journey: Journey, candidates: readonly Candidate[], now: Millis): ChosenTarget | undefined {
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
	private _newcomer(journey: Journey, candidates: readonly Candidate[], now: Millis): ChosenTarget | undefined {
		if (journey.route.repeatRule !== RepeatRule.Repeatable) {
			return undefined;
		}
		const { regionEntries } = this._view;
		const newcomer = findNewcomer(
			candidates,
			this._own.region,
			this._own.name,
			regionEntries,
			candidate => candidate.known.coldUntil <= now || this._mayUseCold(candidate, now)
		);
		return newcomer && { ...newcomer, firstRegion: undefined };
	}

	private _mayUseCold(candidate: Candidate, now: Millis): boolean {
		const isSender = candidate.known.record.coldSenders.includes(this._own.name);
		return isSender && candidate.state.hasColdToken(this._coldPace(candidate), now);
	}

	/** The part of a cold target's pace that each of its senders has. */
	private _coldPace(candidate: Candidate): number {
		const { service, coldSenders } = candidate.known.record;
		const perSecond = this._view.routes?.service(service)?.coldPerSecond ?? 0;
		return (COLD_PACE_PART * perSecond) / Math.max(1, coldSenders.length);
	}
}
