/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Selects the target for a request among the known ones. */

import type { Millis } from '../../../base/clock.js';
import { AnswerTimes, MISS_RATIO } from './answerTimes.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import type { PaceShare } from '../../fleet/common/paceShare.js';
import type { WorkByTarget } from '../../fleet/common/requestedWork.js';
import { RepeatRule, type Route } from '../../routes/common/routeTable.js';
import type { ITargetLimitStatus } from '../../limits/common/targetLimits.js';
import { ColdPace } from './coldPace.js';
import { DeferredCapacity, type NextCapacity } from './deferredCapacity.js';
import { findUnusedTarget } from './firstRequests.js';
import type { Event } from '../../../base/event.js';
import { type InstanceLocation, PlacementPlans, type RegionPlan, type RouteShareJump } from './placementPlans.js';
import { PrimaryRequests } from './primaryRequests.js';
import { regionAtPosition } from './regionShares.js';
import type { ShiftBounds } from './sharePacer.js';
import type { IUnevenLoad } from './unevenLoad.js';
import { SpillAllowance } from './spillAllowance.js';
import {
	type Candidate,
	chooseTarget,
	primaryTargetOf,
	type ChoiceContext,
	type ChosenTarget,
	regionPosition
} from './targetChoice.js';
import type { PlacementCaller, PlacementRequest } from './placementRequest.js';
import { RecentObjects } from './recentObjects.js';
import type { IWorkProfile, WorkTimes } from './workProfile.js';
import type { FactorSummary } from './targets/serviceSpeed.js';
import { TargetStates } from './targets/targetStates.js';

/** Maximum number of permits that other instances may deny to one request: each of them costs a remote call. */
const MAX_DENIED_PERMITS = 2;

const NO_TARGET_IDS: ReadonlySet<string> = new Set();

/** Name and location of an instance. */
export interface InstanceIdentity extends InstanceLocation {
	readonly name: string;
}

/** What selection by expected answer times depends on. */
export interface SelectionOptions {
	/** Work times of routes; those of a service's latest responses where it is omitted or knows none. */
	readonly workProfile?: Pick<IWorkProfile, 'timesOf'>;
	/** Whether ranks decide who gets scarce slots, so that no work may be in vain also where targets report no work time. */
	readonly isRanked?: boolean;
	/** Which services get shares that hold still; none if omitted. */
	readonly unevenLoad?: IUnevenLoad;
}

/** Chooses targets for the requests of this instance. */
export class TargetSelector {
	private readonly _states: TargetStates;
	private readonly _plans: PlacementPlans;
	private readonly _spill: SpillAllowance;
	private readonly _recentObjects = new RecentObjects();
	/** Time of this instance's first request, by service. */
	private readonly _servingSince = new Map<string, Millis>();
	private readonly _primaryRequests: PrimaryRequests;
	private readonly _coldPace: ColdPace;
	private readonly _deferredCapacity: DeferredCapacity;
	/** Fires when shares moved off lost targets, exempt from the shift bounds. */
	readonly onDidShiftFromLostTargets: Event<RouteShareJump>;

	/**
	 * @param regions all regions, with or without targets
	 * @param paceShare this instance's share of the rate limits of cold targets
	 * @param targetLimits rate limits of targets and their permits
	 * @param _options work times of routes, which services get shares that hold still, and whether ranks decide
	 */
	constructor(
		private readonly _view: FleetView,
		private readonly _instance: InstanceIdentity,
		regions: readonly string[],
		shiftBounds: ShiftBounds,
		paceShare: PaceShare,
		targetLimits: ITargetLimitStatus,
		private readonly _options: SelectionOptions = {}
	) {
		this._states = new TargetStates(_view, targetLimits, _options.isRanked);
		this._plans = new PlacementPlans(_view, _instance, regions, shiftBounds, _options.unevenLoad);
		this._spill = new SpillAllowance(shiftBounds.maxMovedFraction);
		this._primaryRequests = new PrimaryRequests(_view);
		this._coldPace = new ColdPace(_view, paceShare);
		this._deferredCapacity = new DeferredCapacity(_view, targetLimits);
		this.onDidShiftFromLostTargets = this._plans.onDidShiftFromLostTargets;
	}

	/** Returns the target for the next attempt of a request; undefined if none can take it now. */
	choose(request: PlacementRequest, now: Millis): ChosenTarget | undefined {
		const { route, service, exchange, homeRegions, tried } = request;
		const mayAsk = mayAskForPermit(request);
		const { candidates, deferred, reachableRegions } = this._states.candidates(
			service,
			homeRegions,
			tried,
			mayAsk,
			now
		);
		const objectKey = scopedObjectKey(route, exchange);
		const context: ChoiceContext = {
			objectKey,
			position: regionPosition(objectKey ?? exchange.requestId),
			reachableRegions,
			maySpill: this._spill.hasToken,
			...this._plans.planFor(service, request, now),
			now,
			utilizationFactor: request.utilizationFactor ?? 1,
			answerTimes: this._answerTimes(request, objectKey, now),
			isChosenByTime: this._states.speedOf(service).isReported(now),
			mayUseCold: candidate => this._coldPace.mayUseCold(candidate, now)
		};
		const chosen = this._unusedTarget(request, candidates, context) ?? chooseTarget(candidates, context);
		this._recordTargetLookup(request, context, chosen);
		if (chosen) {
			this._recordChoice(request, chosen, now);
			if (context.answerTimes && objectKey !== undefined) {
				this._recentObjects.record(objectKey, chosen.known.record.id, now);
			}
		}
		if (objectKey === undefined || !isFirstAttempt(request)) {
			return chosen;
		}
		const primary = primaryTargetOf(
			deferred.length > 0 ? [...candidates, ...deferred] : candidates,
			objectKey,
			context
		);
		if (primary) {
			this._primaryRequests.record(primary.known.record.id);
		}
		return chosen && { ...chosen, passedOver: this._deferredCapacity.describeSkipped(primary, deferred, now) };
	}

	/** Estimates for a request; undefined where there are none for the service, or the usual work time is not known yet. */
	private _answerTimes(
		{ service, route, exchange, deadline }: PlacementRequest,
		objectKey: string | undefined,
		now: Millis
	): AnswerTimes | undefined {
		const work = this._states.speedOf(service).isEstimated(now) ? this._workTimes(service, route.name) : undefined;
		return (
			work &&
			new AnswerTimes({
				work,
				region: this._instance.region,
				deadlineLeftMs: deadline === undefined ? Number.POSITIVE_INFINITY : deadline - now,
				objectiveLeftMs: route.objectiveMs - (now - (exchange.arrivedAt ?? now)),
				isRecent: id => objectKey !== undefined && this._recentObjects.has(objectKey, id, now),
				now
			})
		);
	}

	private _workTimes(service: string, route: string): Pick<WorkTimes, 'hitMs' | 'missMs'> | undefined {
		const learned = this._options.workProfile?.timesOf(service, route);
		const typicalMs = this._states.speedOf(service).typicalWorkMs;
		return learned ?? (typicalMs === undefined ? undefined : { hitMs: typicalMs, missMs: MISS_RATIO * typicalMs });
	}

	/**
	 * Returns when capacity becomes available again for a request if all targets that it may use back off or are rate limited;
	 * undefined if one of them takes requests or there are none.
	 */
	nextCapacity(request: PlacementRequest, now: Millis): NextCapacity | undefined {
		const { route, service, homeRegions, exchange } = request;
		// Permits that the request may no longer ask for don't count as capacity, or all its callers would retry at once.
		const mayAsk = mayAskForPermit(request);
		const { candidates, deferred, reachableRegions } = this._states.candidates(
			service,
			homeRegions,
			NO_TARGET_IDS,
			mayAsk,
			now
		);
		const { shares } = this._plans.planFor(service, { route, homeRegions }, now);
		const region = regionAtPosition(shares, regionPosition(scopedObjectKey(route, exchange) ?? exchange.requestId));
		const isEligible = ({ known }: Candidate): boolean =>
			!known.isSilent && (region === undefined || !reachableRegions.has(region) || known.region === region);
		const unavailable = deferred.filter(isEligible);
		if (unavailable.length === 0 || candidates.some(isEligible)) {
			return undefined;
		}
		return this._deferredCapacity.next(unavailable, now);
	}

	/** Planned share, demand and capacity by service and region. */
	regionPlans(): readonly RegionPlan[] {
		return this._plans.regionPlans();
	}

	/** Forgets failures of all targets, after it turned out that the links of this instance had failed. */
	forgetFailures(): void {
		this._states.forgetFailures();
	}

	/** Number of targets that back off, by service. */
	backedOffByService(now: Millis): ReadonlyMap<string, number> {
		return this._states.backedOffByService(now);
	}

	/** Work time factors by service, for services whose targets report them. */
	factorsByService(now: Millis): ReadonlyMap<string, FactorSummary> {
		return this._states.factorsByService(now);
	}

	/**
	 * Returns the work, in slots times seconds, that callers requested of the primary targets of their objects since the last
	 * call, and resets it.
	 * @param serviceTimeMs returns the time that a request of a service takes without queueing
	 */
	takeRequestedWork(serviceTimeMs: (service: string) => Millis): WorkByTarget {
		return this._primaryRequests.takeWork(serviceTimeMs);
	}

	/** Every attempt counts: a request that a full target refused is looked up again. */
	private _recordTargetLookup(
		request: PlacementRequest,
		context: ChoiceContext,
		chosen: ChosenTarget | undefined
	): void {
		const { shares, position, reachableRegions, now } = context;
		const region = regionAtPosition(shares, position);
		if (region !== undefined && reachableRegions.has(region)) {
			this._plans.recordTargetLookup(request.service, request, region, chosen?.known.region !== region, now);
		}
	}

	private _recordChoice(request: PlacementRequest, chosen: ChosenTarget, now: Millis): void {
		this._coldPace.recordRequest(chosen, now);
		if (isFirstAttempt(request)) {
			this._spill.recordRequest();
		}
		if (chosen.isSpill) {
			this._spill.take();
		}
	}

	/** Returns an unused target that needs its first request; only for repeatable requests that the shares keep in this region. */
	private _unusedTarget(
		{ route, service }: PlacementRequest,
		candidates: readonly Candidate[],
		{ shares, position, now }: ChoiceContext
	): ChosenTarget | undefined {
		const servingSince = this._servingSince.get(service) ?? now;
		this._servingSince.set(service, servingSince);
		const firstRegion = regionAtPosition(shares, position);
		if (route.repeatRule !== RepeatRule.Repeatable || firstRegion !== this._instance.region) {
			return undefined;
		}
		const isUsable = (candidate: Candidate): boolean => this._coldPace.isUsable(candidate, now);
		const { name, region } = this._instance;
		const servingInstance = { name, region, regionEntries: this._view.regionEntries, servingSince };
		const unusedTarget = findUnusedTarget(candidates, servingInstance, isUsable);
		return unusedTarget && { ...unusedTarget, firstRegion, isSpill: false };
	}
}

/** Returns the object key, scoped to the route's path prefix; undefined if the request is not bound to an object. */
function scopedObjectKey(route: Route, { objectKey }: PlacementCaller): string | undefined {
	return route.isSticky && objectKey !== undefined ? `${route.pathPrefix} ${objectKey}` : undefined;
}

/** Whether no target was chosen for the request before; a choice that failed because a permit was denied counts. */
function isFirstAttempt({ attempts, permitsDenied }: PlacementRequest): boolean {
	return attempts.length === 0 && permitsDenied === 0;
}

function mayAskForPermit({ permitsDenied }: PlacementRequest): boolean {
	return permitsDenied < MAX_DENIED_PERMITS;
}
