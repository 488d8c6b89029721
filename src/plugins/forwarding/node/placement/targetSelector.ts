/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Finds the target for a request among those that are known, and keeps to the pace of cold ones. */

import type { Millis } from '../../../../base/clock.js';
import type { FleetView } from '../../../fleet/common/fleetView.js';
import type { WorkByTarget } from '../../../fleet/common/targetNeeds.js';
import { RepeatRule, type Route } from '../../../routes/common/routeTable.js';
import { findNewcomer } from '../../common/placement/newcomers.js';
import type { Event } from '../../../../base/event.js';
import { type Place, PlacementPlans, type RouteShareStep } from '../../common/placement/placementPlans.js';
import { regionAt } from '../../common/placement/regionShares.js';
import type { RestingTarget } from '../../common/requestTrace.js';
import type { ShiftBounds } from '../../common/placement/sharePacer.js';
import { SpillAllowance } from '../../common/placement/spillAllowance.js';
import {
	type Candidate,
	chooseTarget,
	firstTargetOf,
	type ChoiceContext,
	type ChosenTarget,
	placeAmongRegions
} from '../../common/placement/targetChoice.js';
import type { CallerExchange } from '../callerExchange.js';
import type { Journey } from '../journey.js';
import type { LimitedTarget } from '../targets/limitWatch.js';
import { TargetStates } from '../targets/targetStates.js';

/** Part of a cold target's pace that is used: requests that were spread over time may arrive closer together. */
const COLD_PACE_PART = 0.6;

const NONE_TRIED: ReadonlySet<string> = new Set();

/** Who and where this instance is. */
export interface NamedPlace extends Place {
	readonly name: string;
}

/** Chooses targets for the requests of this instance. */
export class TargetSelector {
	private readonly _states: TargetStates;
	private readonly _plans: PlacementPlans;
	private readonly _spill: SpillAllowance;
	/** When this instance had its first request, by service. */
	private readonly _servingSince = new Map<string, Millis>();
	/** Work that was asked for since it was last taken, in slots times seconds, by first target. */
	private _needs = new Map<string, number>();
	/** Fires when shares between regions moved further at once than their pace allows. */
	readonly onDidStepFar: Event<RouteShareStep>;

	/** @param regions every region, with or without targets */
	constructor(
		private readonly _view: FleetView,
		private readonly _own: NamedPlace,
		regions: readonly string[],
		shifts: ShiftBounds
	) {
		this._states = new TargetStates(_view);
		this._plans = new PlacementPlans(_view, _own, regions, shifts);
		this._spill = new SpillAllowance(shifts.mostMoved);
		this.onDidStepFar = this._plans.onDidStepFar;
	}

	/** The target for the next attempt of a request; undefined where none may have it now. */
	choose(journey: Journey, now: Millis): ChosenTarget | undefined {
		const { route, service, exchange, homeRegions, tried } = journey;
		const { candidates, resting, standing } = this._states.candidates(service, homeRegions, tried, now);
		const objectKey = objectOf(route, exchange);
		const context: ChoiceContext = {
			objectKey,
			position: placeAmongRegions(objectKey ?? exchange.requestId),
			standing,
			maySpill: this._spill.hasLeave,
			...this._plans.planFor(service, journey, now),
			now,
			mayUseCold: candidate => this._mayUseCold(candidate, now)
		};
		const chosen = this._newcomer(journey, candidates, context) ?? chooseTarget(candidates, context);
		this._noteLookedFor(journey, context, chosen);
		if (chosen) {
			this._noteChoice(journey, chosen, now);
		}
		if (objectKey === undefined || journey.attempts.length > 0) {
			return chosen;
		}
		const first = firstTargetOf(resting.length > 0 ? [...candidates, ...resting] : candidates, objectKey, context);
		this._noteNeed(first);
		return chosen && { ...chosen, passedOver: restOf(first, now) };
	}

	/**
	 * When the first of the targets that a request may use wants work again, where all of them want none now; undefined where one takes
	 * work, or there is none.
	 */
	restEndsAt({ route, service, homeRegions, exchange }: Journey, now: Millis): Millis | undefined {
		const { candidates, resting, standing } = this._states.candidates(service, homeRegions, NONE_TRIED, now);
		const { shares } = this._plans.planFor(service, { route, homeRegions }, now);
		const region = regionAt(shares, placeAmongRegions(objectOf(route, exchange) ?? exchange.requestId));
		const isThere = ({ known }: Candidate): boolean =>
			!known.isSilent && (region === undefined || !standing.has(region) || known.region === region);
		const ends = resting.filter(isThere).map(({ state }) => state.rest.endsAt);
		return ends.length === 0 || candidates.some(isThere) ? undefined : Math.min(...ends);
	}

	/** How many targets of each service want nothing now. */
	restingByService(now: Millis): ReadonlyMap<string, number> {
		return this._states.restingByService(now);
	}

	/** The targets that name a limit now. */
	limitedTargets(): readonly LimitedTarget[] {
		return this._states.limitedTargets();
	}

	/**
	 * What callers asked for at the first targets of their objects since the last call.
	 * @param typicalMs what a request of a service takes where nothing holds it up
	 */
	takeNeeds(typicalMs: (service: string) => Millis): WorkByTarget {
		const workOf = (id: string, requests: number): number => {
			const service = this._view.target(id)?.record.service;
			return service === undefined ? 0 : (requests * typicalMs(service)) / 1000;
		};
		const needs = [...this._needs].map(([id, requests]) => [id, workOf(id, requests)] as const);
		this._needs = new Map();
		return Object.fromEntries(needs.filter(([, work]) => work > 0));
	}

	/** A target that rests for a while keeps the need for its objects. */
	private _noteNeed(first: Candidate | undefined): void {
		const id = first?.known.record.id;
		if (id !== undefined) {
			this._needs.set(id, (this._needs.get(id) ?? 0) + 1);
		}
	}

	/** Each try counts: one that a full target turned away looks once more. */
	private _noteLookedFor(journey: Journey, context: ChoiceContext, chosen: ChosenTarget | undefined): void {
		const { shares, position, standing, now } = context;
		const region = regionAt(shares, position);
		if (region !== undefined && standing.has(region)) {
			this._plans.noteLookedFor(journey.service, journey, region, chosen?.known.region !== region, now);
		}
	}

	private _noteChoice(journey: Journey, chosen: ChosenTarget, now: Millis): void {
		if (chosen.known.coldUntil > now) {
			chosen.state.takeColdToken(this._coldPace(chosen), now);
		}
		if (journey.attempts.length === 0) {
			this._spill.noteRequest();
		}
		if (chosen.isSpill) {
			this._spill.take();
		}
	}

	/** A target that nobody may have asked yet; only a request that may run again, and belongs here, goes there. */
	private _newcomer(
		{ route, service }: Journey,
		candidates: readonly Candidate[],
		{ shares, position, now }: ChoiceContext
	): ChosenTarget | undefined {
		const servingSince = this._servingSince.get(service) ?? now;
		this._servingSince.set(service, servingSince);
		const firstRegion = regionAt(shares, position);
		if (route.repeatRule !== RepeatRule.Repeatable || firstRegion !== this._own.region) {
			return undefined;
		}
		const isUsable = (candidate: Candidate): boolean =>
			candidate.known.coldUntil <= now || this._mayUseCold(candidate, now);
		const { name, region } = this._own;
		const introducer = { name, region, regionEntries: this._view.regionEntries, servingSince };
		const newcomer = findNewcomer(candidates, introducer, isUsable);
		return newcomer && { ...newcomer, firstRegion, isSpill: false };
	}

	private _mayUseCold(candidate: Candidate, now: Millis): boolean {
		const isSender = candidate.known.record.pacedSenders.includes(this._own.name);
		return isSender && candidate.state.hasColdToken(this._coldPace(candidate), now);
	}

	/** The part of a cold target's pace that each of its senders has. */
	private _coldPace(candidate: Candidate): number {
		const { service, pacedSenders } = candidate.known.record;
		const perSecond = this._view.routes?.service(service)?.coldPerSecond ?? 0;
		return (COLD_PACE_PART * perSecond) / Math.max(1, pacedSenders.length);
	}
}

/** What requests about the same object have in common; undefined for a request about none. */
function objectOf(route: Route, { objectKey }: CallerExchange): string | undefined {
	return route.isSticky && objectKey !== undefined ? `${route.pathPrefix} ${objectKey}` : undefined;
}

function restOf(first: Candidate | undefined, now: Millis): RestingTarget | undefined {
	if (!first?.state.rest.isAsked(now)) {
		return undefined;
	}
	return { target: first.known.record.id, restLeftMs: Math.round(first.state.rest.endsAt - now) };
}
