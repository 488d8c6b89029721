/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Finds the target for a request among those that are known, and keeps to the pace of cold ones. */

import type { Millis } from '../../../../base/clock.js';
import type { FleetView } from '../../../fleet/common/fleetView.js';
import type { PaceShare } from '../../../fleet/common/paceShare.js';
import type { WorkByTarget } from '../../../fleet/common/targetNeeds.js';
import { RepeatRule, type Route } from '../../../routes/common/routeTable.js';
import type { ITargetRoom } from '../../../limits/common/targetLimits.js';
import { NotRunCause } from '../../common/attempt.js';
import { findNewcomer } from '../../common/placement/newcomers.js';
import type { Event } from '../../../../base/event.js';
import { type Place, PlacementPlans, type RouteShareStep } from '../../common/placement/placementPlans.js';
import { regionAt } from '../../common/placement/regionShares.js';
import type { PassedTarget } from '../../common/requestTrace.js';
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
import { TargetStates } from '../targets/targetStates.js';

/** Part of a cold target's pace that is used: requests that were spread over time may arrive closer together. */
const COLD_PACE_PART = 0.6;

/** Permits that one request may be denied by other instances: each costs a call, and there are targets without limits. */
const MOST_PERMITS_DENIED = 2;

const NONE_TRIED: ReadonlySet<string> = new Set();

/** Who and where this instance is. */
export interface NamedPlace extends Place {
	readonly name: string;
}

/** When there is room again. */
export interface RoomReturn {
	/** What was in the way. */
	readonly cause: NotRunCause.AtRest | NotRunCause.AtLimit;
	readonly at: Millis;
	/** Time from one permit to the next for the callers of an instance; 0 where there is room for all of them. */
	readonly gapMs: Millis;
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

	/**
	 * @param regions every region, with or without targets
	 * @param _share this instance's part of what targets take while they are cold
	 * @param _room what is known of the limits of targets
	 */
	constructor(
		private readonly _view: FleetView,
		private readonly _own: NamedPlace,
		regions: readonly string[],
		shifts: ShiftBounds,
		private readonly _share: PaceShare,
		private readonly _room: ITargetRoom
	) {
		this._states = new TargetStates(_view, _room);
		this._plans = new PlacementPlans(_view, _own, regions, shifts);
		this._spill = new SpillAllowance(shifts.mostMoved);
		this.onDidStepFar = this._plans.onDidStepFar;
	}

	/** The target for the next attempt of a request; undefined where none may have it now. */
	choose(journey: Journey, now: Millis): ChosenTarget | undefined {
		const { route, service, exchange, homeRegions, tried } = journey;
		const mayAsk = mayAskForPermit(journey);
		const { candidates, resting, standing } = this._states.candidates(service, homeRegions, tried, mayAsk, now);
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
		if (objectKey === undefined || !isFirstChoice(journey)) {
			return chosen;
		}
		const first = firstTargetOf(resting.length > 0 ? [...candidates, ...resting] : candidates, objectKey, context);
		this._noteNeed(first);
		return chosen && { ...chosen, passedOver: this._passedBy(first, resting, now) };
	}

	/**
	 * When there is room again for a request, where all targets that it may use want none now, or are at their limits; undefined where one
	 * takes work, or there is none.
	 */
	roomReturns(journey: Journey, now: Millis): RoomReturn | undefined {
		const { route, service, homeRegions, exchange } = journey;
		// A permit that the request may not ask for any more is none, or all callers would come back together.
		const mayAsk = mayAskForPermit(journey);
		const { candidates, resting, standing } = this._states.candidates(service, homeRegions, NONE_TRIED, mayAsk, now);
		const { shares } = this._plans.planFor(service, { route, homeRegions }, now);
		const region = regionAt(shares, placeAmongRegions(objectOf(route, exchange) ?? exchange.requestId));
		const isThere = ({ known }: Candidate): boolean =>
			!known.isSilent && (region === undefined || !standing.has(region) || known.region === region);
		const full = resting.filter(isThere);
		if (full.length === 0 || candidates.some(isThere)) {
			return undefined;
		}
		const limited = full.filter(({ state }) => !state.rest.isAsked(now));
		if (limited.length > 0) {
			return { cause: NotRunCause.AtLimit, at: this._nextPermitAt(limited, now), gapMs: this._gapMs(limited, now) };
		}
		return { cause: NotRunCause.AtRest, at: Math.min(...full.map(({ state }) => state.rest.endsAt)), gapMs: 0 };
	}

	private _nextPermitAt(limited: readonly Candidate[], now: Millis): Millis {
		return now + Math.min(...limited.map(({ known }) => this._room.permitInMs(known.record, now)));
	}

	/** Time between permits at limited targets for the callers of one instance of the region: they come back to any of them. */
	private _gapMs(limited: readonly Candidate[], now: Millis): Millis {
		const perSecond = limited.reduce((sum, { known }) => sum + (this._room.perSecond(known.record, now) ?? 0), 0);
		return (1000 * Math.max(1, this._view.regionEntries.length)) / perSecond;
	}

	/** Why the first target of an object could not be used; undefined where nothing of its own was in the way. */
	private _passedBy(
		first: Candidate | undefined,
		resting: readonly Candidate[],
		now: Millis
	): PassedTarget | undefined {
		if (!first || !resting.some(({ state }) => state === first.state)) {
			return undefined;
		}
		const { rest } = first.state;
		const target = first.known.record.id;
		return rest.isAsked(now)
			? { target, restLeftMs: Math.round(rest.endsAt - now) }
			: { target, limitPerSecond: this._room.perSecond(first.known.record, now) };
	}

	/** How many targets of each service want nothing now. */
	restingByService(now: Millis): ReadonlyMap<string, number> {
		return this._states.restingByService(now);
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
		if (isFirstChoice(journey)) {
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
		const pace = this._coldPace(candidate);
		return pace > 0 && candidate.state.hasColdToken(pace, now);
	}

	/** This instance's part of a cold target's pace. */
	private _coldPace({ known }: Candidate): number {
		const perSecond = this._view.routes?.service(known.record.service)?.coldPerSecond ?? 0;
		return COLD_PACE_PART * perSecond * this._share.of(known.record);
	}
}

/** What requests about the same object have in common; undefined for a request about none. */
function objectOf(route: Route, { objectKey }: CallerExchange): string | undefined {
	return route.isSticky && objectKey !== undefined ? `${route.pathPrefix} ${objectKey}` : undefined;
}

/** Whether nothing was chosen for the request before; what came to nothing for want of a permit counts as chosen. */
function isFirstChoice({ attempts, permitsDenied }: Journey): boolean {
	return attempts.length === 0 && permitsDenied === 0;
}

function mayAskForPermit({ permitsDenied }: Journey): boolean {
	return permitsDenied < MOST_PERMITS_DENIED;
}
