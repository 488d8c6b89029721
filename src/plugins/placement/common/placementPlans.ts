/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Plans periodically how this instance divides the requests of each service among regions and halls. */

import type { Millis } from '../../../base/clock.js';
import { Emitter } from '../../../base/event.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import { RepeatRule, type Route } from '../../routes/common/routeTable.js';
import { hasProportionateSlots } from './hallPreference.js';
import { RegionRejections } from './regionRejections.js';
import { RegionCapacities } from './regionCapacities.js';
import { planShares, type RegionShares, shareOf, evenDemandShare } from './regionShares.js';
import { SteadyShares } from './steadyShares.js';
import { evenLoad, type IUnevenLoad } from './unevenLoad.js';
import { SharePacer, type ShareJump, type ShiftBounds, type DesiredShares } from './sharePacer.js';

const MAX_PLAN_AGE_MS = 200;

/** The location of an instance. */
export interface InstanceLocation {
	readonly region: string;
	readonly hall: string;
}

/** A route with the regions that may serve its requests. */
export interface RegionalRoute {
	readonly route: Route;
	/** Home regions of the route and of the team; empty for any region. */
	readonly homeRegions: readonly string[];
}

/** The regions and the hall that requests of a route are sent to. */
export interface PlacementPlan {
	readonly shares: RegionShares;
	/** Hall whose targets are preferred to others of its region; undefined for none. */
	readonly preferredHall: string | undefined;
}

/** What a service's plan expects of one region. */
export interface RegionPlan {
	readonly service: string;
	readonly region: string;
	/** Planned share of the requests of this instance's callers, 0 to 1. */
	readonly share: number;
	/** Slots that the region's callers need; undefined if none was reported. */
	readonly demand: number | undefined;
	/** Slots of its available targets, by their speed where it is known. */
	readonly slots: number;
}

/** A move of the shares of a route's requests to a service off lost targets. */
export interface RouteShareJump extends ShareJump {
	readonly route: string;
	readonly service: string;
}

/** The plan of a service for all routes with the same home regions and size of responses. */
interface ServicePlan {
	readonly service: string;
	readonly capacities: RegionCapacities;
	/** Used where load is uneven. */
	readonly steadyShares: SteadyShares;
	readonly rejections: RegionRejections;
	desired: DesiredShares;
	preferredHall: string | undefined;
	plannedAt: Millis;
}

/** The shares of one route's requests to one service. */
interface RouteServiceShares {
	readonly pacer: SharePacer;
	plan: PlacementPlan;
	updatedAt: Millis;
}

/** The shares of a route with the same home regions, by service; replaced when a route table changes the weights. */
interface RouteShares {
	/** Services and weights of the route, as a comparable string. */
	readonly weightsKey: string;
	readonly route: Route;
	/** Shares among regions at the time when the weights changed; empty for a new route. */
	readonly initialShares: RegionShares;
	readonly byService: Map<string, RouteServiceShares>;
}

/**
 * Keeps plans by service, home regions and size of responses, and current shares by route. All routes of a service follow the
 * same plan, but each from its own shares: when a route table changes the services or weights of a route, its requests start
 * from the regions in which they ran before.
 */
export class PlacementPlans {
	private readonly _services = new Map<string, ServicePlan>();
	private readonly _routes = new Map<string, RouteShares>();
	private readonly _onDidShiftFromLostTargets = new Emitter<RouteShareJump>();
	/** Fires when shares moved off lost targets, exempt from the shift bounds. */
	readonly onDidShiftFromLostTargets = this._onDidShiftFromLostTargets.event;

	/**
	 * @param _regions all regions, with or without targets
	 * @param _load which services get shares that hold still
	 */
	constructor(
		private readonly _view: FleetView,
		private readonly _location: InstanceLocation,
		private readonly _regions: readonly string[],
		private readonly _shiftBounds: ShiftBounds,
		private readonly _load: IUnevenLoad = evenLoad
	) {}

	/** Returns the plan for a route's requests to one of its services, updated if it is too old. */
	planFor(service: string, { route, homeRegions }: RegionalRoute, now: Millis): PlacementPlan {
		const regionalRoute = { route, homeRegions };
		const serviceShares = this._sharesOf(service, regionalRoute);
		if (now - serviceShares.updatedAt > MAX_PLAN_AGE_MS) {
			serviceShares.updatedAt = now;
			const { desired, preferredHall } = this._servicePlan(service, regionalRoute, now);
			const jump = serviceShares.pacer.update(desired, now);
			serviceShares.plan = { shares: serviceShares.pacer.shares, preferredHall };
			if (jump) {
				this._onDidShiftFromLostTargets.fire({ ...jump, route: route.name, service });
			}
		}
		return serviceShares.plan;
	}

	/**
	 * Records that a request looked for a target in the region that the shares assign to it.
	 * @param isRejected whether no target there could take it
	 */
	recordTargetLookup(
		service: string,
		regionalRoute: RegionalRoute,
		region: string,
		isRejected: boolean,
		now: Millis
	): void {
		this._servicePlan(service, regionalRoute, now).rejections.record(region, isRejected, now);
	}

	/** The plans by service and region; the first one of a service whose routes have several. */
	regionPlans(): readonly RegionPlan[] {
		const first = new Map<string, ServicePlan>();
		this._services.forEach(plan => first.set(plan.service, first.get(plan.service) ?? plan));
		return [...first.values()].flatMap(({ service, capacities, desired }) =>
			[...capacities.capacities].map(([region, { demand, slots }]) => ({
				service,
				region,
				share: shareOf(desired.shares, region),
				demand,
				slots
			}))
		);
	}

	private _sharesOf(service: string, { route, homeRegions }: RegionalRoute): RouteServiceShares {
		const key = `${route.name} ${homeRegions.join(' ')}`;
		let shares = this._routes.get(key);
		if (!shares || (shares.route !== route && shares.weightsKey !== weightsKeyOf(route))) {
			shares = {
				weightsKey: weightsKeyOf(route),
				route,
				initialShares: shares ? combinedShares(shares) : [],
				byService: new Map()
			};
			this._routes.set(key, shares);
		}
		let serviceShares = shares.byService.get(service);
		if (!serviceShares) {
			const plan = { shares: shares.initialShares, preferredHall: undefined };
			const pacer = new SharePacer(this._shiftBounds, shares.initialShares);
			serviceShares = { pacer, plan, updatedAt: Number.NEGATIVE_INFINITY };
			shares.byService.set(service, serviceShares);
		}
		return serviceShares;
	}

	private _servicePlan(service: string, { route, homeRegions }: RegionalRoute, now: Millis): ServicePlan {
		const isLarge = route.repeatRule === RepeatRule.LargeResponse;
		const key = `${service} ${homeRegions.join(',')} ${isLarge}`;
		let plan = this._services.get(key);
		if (!plan) {
			const capacities = new RegionCapacities(this._view, service, this._regions, homeRegions, this._load);
			const desired = {
				shares: [],
				rejectionRates: new Map(),
				reliableRejectionRates: new Map(),
				availableSlots: new Map(),
				slots: new Map(),
				evenDemandOwnShare: 1
			};
			plan = {
				service,
				capacities,
				steadyShares: new SteadyShares(this._location.region, isLarge),
				rejections: new RegionRejections(),
				desired,
				preferredHall: undefined,
				plannedAt: Number.NEGATIVE_INFINITY
			};
			this._services.set(key, plan);
		}
		if (now - plan.plannedAt > MAX_PLAN_AGE_MS) {
			plan.plannedAt = now;
			plan.capacities.update(now);
			const { capacities, availableSlots } = plan.capacities;
			plan.desired = {
				shares: this._load.isUneven(service)
					? plan.steadyShares.update(capacities, now)
					: planShares(this._location.region, capacities, isLarge),
				rejectionRates: plan.rejections.rates(now),
				reliableRejectionRates: plan.rejections.reliableRates(now),
				availableSlots,
				slots: new Map([...capacities].map(([region, capacity]) => [region, capacity.slots])),
				evenDemandOwnShare: evenDemandShare(this._location.region, capacities, isLarge)
			};
			plan.preferredHall = isLarge ? this._preferredHall(service) : undefined;
		}
		return plan;
	}

	private _preferredHall(service: string): string | undefined {
		const slotsByHall = new Map<string, number>();
		for (const { record, region, isSilent } of this._view.targetsOf(service)) {
			if (region === this._location.region && !isSilent && !this._view.isDrained(record.hall)) {
				slotsByHall.set(record.hall, (slotsByHall.get(record.hall) ?? 0) + record.slots);
			}
		}
		return hasProportionateSlots(this._location.hall, slotsByHall) ? this._location.hall : undefined;
	}
}

function weightsKeyOf(route: Route): string {
	const parts = route.parts.map(({ service, weight }) => `${service}=${weight}`);
	return parts.join(' ');
}

/** Returns the weighted mean of the shares of a route's services that have had requests. */
function combinedShares({ route, initialShares, byService }: RouteShares): RegionShares {
	const weighted = route.parts.flatMap(({ service, weight }) => {
		const shares = byService.get(service)?.pacer.shares ?? [];
		return shares.length > 0 ? [{ shares, weight }] : [];
	});
	const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
	if (total === 0) {
		return initialShares;
	}
	const regions = [...new Set(weighted.flatMap(({ shares }) => shares.map(({ region }) => region)))];
	const shareIn = (region: string): number =>
		weighted.reduce((sum, { shares, weight }) => sum + (weight / total) * shareOf(shares, region), 0);
	return regions.map(region => ({ region, share: shareIn(region) }));
}
