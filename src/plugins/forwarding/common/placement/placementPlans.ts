/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How this instance divides the requests of each service among regions and halls, planned anew now and then. */

import type { Millis } from '../../../../base/clock.js';
import { Emitter } from '../../../../base/event.js';
import type { FleetView } from '../../../fleet/common/fleetView.js';
import { RepeatRule, type Route } from '../../../routes/common/routeTable.js';
import { servesItself } from './hallPreference.js';
import { RegionCrowding } from './regionCrowding.js';
import { RegionRooms } from './regionRooms.js';
import { planShares, type RegionShares, shareOf, usualShare } from './regionShares.js';
import { SharePacer, type ShareStep, type ShiftBounds, type WantedShares } from './sharePacer.js';

const PLAN_AGE_MS = 200;

/** Where the instance is. */
export interface Place {
	readonly region: string;
	readonly hall: string;
}

/** Requests of a route that may be served in the same regions. */
export interface PlacedRoute {
	readonly route: Route;
	/** Homes of the route and of the team; empty for any region. */
	readonly homeRegions: readonly string[];
}

/** Where the requests of a route go. */
export interface PlacementPlan {
	readonly shares: RegionShares;
	/** Hall whose targets go before the others of its region; undefined for none. */
	readonly preferredHall: string | undefined;
}

/** Shares of a route's requests to a service that moved further at once than their pace allows. */
export interface RouteShareStep extends ShareStep {
	readonly route: string;
	readonly service: string;
}

/** What is wanted for a service by all routes with the same homes and size of answers. */
interface ServicePlan {
	readonly rooms: RegionRooms;
	readonly crowding: RegionCrowding;
	wanted: WantedShares;
	preferredHall: string | undefined;
	plannedAt: Millis;
}

/** The shares of one route's requests to one service. */
interface RoutePart {
	readonly pacer: SharePacer;
	plan: PlacementPlan;
	followedAt: Millis;
}

/** A route's requests with the same homes, and the parts that it has had since its table last changed them. */
interface RouteShares {
	/** The services with their weights, as one text. */
	readonly division: string;
	readonly route: Route;
	/** How its requests were divided among regions when the division changed; empty for a route that is new. */
	readonly start: RegionShares;
	readonly parts: Map<string, RoutePart>;
}

/**
 * The plans by service, home regions and size of answers, and the shares by route. The plan of a service is the same for
 * all its routes, but each route's requests have their own way there: when a table sends them to another service, or
 * divides them anew, they begin from the regions where they ran until then.
 */
export class PlacementPlans {
	private readonly _services = new Map<string, ServicePlan>();
	private readonly _routes = new Map<string, RouteShares>();
	private readonly _onDidStepFar = new Emitter<RouteShareStep>();
	/** Fires when shares moved further at once than their pace allows. */
	readonly onDidStepFar = this._onDidStepFar.event;

	/** @param _regions every region, with or without targets */
	constructor(
		private readonly _view: FleetView,
		private readonly _own: Place,
		private readonly _regions: readonly string[],
		private readonly _shifts: ShiftBounds
	) {}

	/** The plan for a route's requests to one of its services. */
	planFor(service: string, { route, homeRegions }: PlacedRoute, now: Millis): PlacementPlan {
		const placed = { route, homeRegions };
		const part = this._partOf(service, placed);
		if (now - part.followedAt > PLAN_AGE_MS) {
			part.followedAt = now;
			const { wanted, preferredHall } = this._servicePlan(service, placed, now);
			const step = part.pacer.follow(wanted, now);
			part.plan = { shares: part.pacer.shares, preferredHall };
			if (step) {
				this._onDidStepFar.fire({ ...step, route: route.name, service });
			}
		}
		return part.plan;
	}

	/**
	 * A request looked for a target in the region that its shares gave it.
	 * @param isTurnedAway whether none there could take it
	 */
	noteLookedFor(service: string, placed: PlacedRoute, region: string, isTurnedAway: boolean, now: Millis): void {
		this._servicePlan(service, placed, now).crowding.note(region, isTurnedAway, now);
	}

	private _partOf(service: string, { route, homeRegions }: PlacedRoute): RoutePart {
		const key = `${route.name} ${homeRegions.join(' ')}`;
		let shares = this._routes.get(key);
		if (!shares || (shares.route !== route && shares.division !== divisionOf(route))) {
			shares = { division: divisionOf(route), route, start: shares ? mixOf(shares) : [], parts: new Map() };
			this._routes.set(key, shares);
		}
		let part = shares.parts.get(service);
		if (!part) {
			const plan = { shares: shares.start, preferredHall: undefined };
			const pacer = new SharePacer(this._shifts, shares.start);
			part = { pacer, plan, followedAt: Number.NEGATIVE_INFINITY };
			shares.parts.set(service, part);
		}
		return part;
	}

	private _servicePlan(service: string, { route, homeRegions }: PlacedRoute, now: Millis): ServicePlan {
		const isLarge = route.repeatRule === RepeatRule.LargeAnswer;
		const key = `${service} ${homeRegions.join(',')} ${isLarge}`;
		let plan = this._services.get(key);
		if (!plan) {
			const rooms = new RegionRooms(this._view, service, this._regions, homeRegions);
			const wanted = { shares: [], lost: new Map(), crowded: new Map(), slots: new Map(), usualOwn: 1 };
			plan = {
				rooms,
				crowding: new RegionCrowding(),
				wanted,
				preferredHall: undefined,
				plannedAt: Number.NEGATIVE_INFINITY
			};
			this._services.set(key, plan);
		}
		if (now - plan.plannedAt > PLAN_AGE_MS) {
			plan.plannedAt = now;
			plan.rooms.update(now);
			const { rooms, lost } = plan.rooms;
			plan.wanted = {
				shares: planShares(this._own.region, rooms, isLarge),
				lost,
				crowded: plan.crowding.parts(now),
				slots: new Map([...rooms].map(([region, room]) => [region, room.slots])),
				usualOwn: usualShare(this._own.region, rooms, isLarge)
			};
			plan.preferredHall = isLarge ? this._preferredHall(service) : undefined;
		}
		return plan;
	}

	private _preferredHall(service: string): string | undefined {
		const slotsByHall = new Map<string, number>();
		for (const { record, region, isSilent } of this._view.targetsOf(service)) {
			if (region === this._own.region && !isSilent && !this._view.isDrained(record.hall)) {
				slotsByHall.set(record.hall, (slotsByHall.get(record.hall) ?? 0) + record.slots);
			}
		}
		return servesItself(this._own.hall, slotsByHall) ? this._own.hall : undefined;
	}
}

function divisionOf(route: Route): string {
	const parts = route.parts.map(({ service, weight }) => `${service}=${weight}`);
	return parts.join(' ');
}

/** How a route's requests are divided among regions, over all its parts that had requests. */
function mixOf({ route, start, parts }: RouteShares): RegionShares {
	const weighted = route.parts.flatMap(({ service, weight }) => {
		const shares = parts.get(service)?.pacer.shares ?? [];
		return shares.length > 0 ? [{ shares, weight }] : [];
	});
	const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
	if (total === 0) {
		return start;
	}
	const regions = [...new Set(weighted.flatMap(({ shares }) => shares.map(({ region }) => region)))];
	const shareIn = (region: string): number =>
		weighted.reduce((sum, { shares, weight }) => sum + (weight / total) * shareOf(shares, region), 0);
	return regions.map(region => ({ region, share: shareIn(region) }));
}
