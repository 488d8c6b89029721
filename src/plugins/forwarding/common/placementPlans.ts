/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How this instance divides the requests of each service among regions and halls, planned anew now and then. */

import type { Millis } from '../../../base/clock.js';
import { Emitter } from '../../../base/event.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import { RepeatRule, type Route } from '../../routes/common/routeTable.js';
import { servesItself } from './hallPreference.js';
import {
	planShares,
	type RegionRoom,
	type RegionShares,
	SharePacer,
	type ShareStep,
	type ShiftBounds
} from './regionShares.js';

const PLAN_AGE_MS = 200;

/** Where the instance is. */
export interface Place {
	readonly region: string;
	readonly hall: string;
}

/** Where the requests of a route go. */
export interface PlacementPlan {
	readonly shares: RegionShares;
	/** Hall whose targets go before the others of its region; undefined for none. */
	readonly preferredHall: string | undefined;
}

/** Shares of a service that moved further at once than their pace allows. */
export interface ServiceShareStep extends ShareStep {
	readonly service: string;
	readonly isLarge: boolean;
}

interface KeptPlan {
	readonly pacer: SharePacer;
	plan: PlacementPlan;
	plannedAt: Millis;
}

/** The plans by service, home regions and size of answers. */
export class PlacementPlans {
	private readonly _plans = new Map<string, KeptPlan>();
	private readonly _onDidStepFar = new Emitter<ServiceShareStep>();
	/** Fires when shares moved further at once than their pace allows within a second. */
	readonly onDidStepFar = this._onDidStepFar.event;

	/** @param _regions every region, with or without targets */
	constructor(
		private readonly _view: FleetView,
		private readonly _own: Place,
		private readonly _regions: readonly string[],
		private readonly _shifts: ShiftBounds
	) {}

	/** The plan for a route's requests to one of its services. */
	planFor(service: string, route: Route, now: Millis): PlacementPlan {
		const isLarge = route.repeatRule === RepeatRule.LargeAnswer;
		const key = `${service} ${route.homeRegions.join(',')} ${isLarge}`;
		let kept = this._plans.get(key);
		if (!kept) {
			const plan = { shares: [], preferredHall: undefined };
			kept = { pacer: new SharePacer(this._shifts), plan, plannedAt: Number.NEGATIVE_INFINITY };
			this._plans.set(key, kept);
		}
		if (now - kept.plannedAt > PLAN_AGE_MS) {
			kept.plannedAt = now;
			const wanted = planShares(this._own.region, this._roomsOf(service, route.homeRegions), isLarge);
			const shares = kept.pacer.follow(wanted, now);
			if (kept.pacer.longStep) {
				this._onDidStepFar.fire({ ...kept.pacer.longStep, service, isLarge });
			}
			kept.plan = { shares, preferredHall: isLarge ? this._preferredHall(service) : undefined };
		}
		return kept.plan;
	}

	private _roomsOf(service: string, homeRegions: readonly string[]): Map<string, RegionRoom> {
		const view = this._view;
		const slots = new Map<string, number>();
		for (const { record, region, isSilent } of view.targetsOf(service)) {
			const isAtHome = homeRegions.length === 0 || homeRegions.includes(region);
			if (isAtHome && !isSilent && !view.isDrained(record.hall)) {
				slots.set(region, (slots.get(region) ?? 0) + record.slots);
			}
		}
		const regions = new Set([...this._regions, ...slots.keys()]);
		return new Map(
			[...regions].map(region => [region, { slots: slots.get(region) ?? 0, demand: view.demandOf(service, region) }])
		);
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
