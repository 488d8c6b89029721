/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What a service has in each region, and what it lost there of late. */

import type { Millis } from '../../../../base/clock.js';
import type { FleetView, KnownTarget } from '../../../fleet/common/fleetView.js';
import type { RegionRoom } from './regionShares.js';

/** A region that lost less than this part of its slots still serves its share; the rest of its targets make up for it. */
const LEAST_LOST = 0.25;
/** Part of the slots that were there before which is forgotten in a second, when targets are gone for good. */
const FORGOTTEN_PER_SECOND = 0.1;

/** The rooms of one service in the regions where a route may be served. */
export class RegionRooms {
	/** The slots that each region had of late. */
	private readonly _usual = new Map<string, number>();
	private _updatedAt: Millis | undefined;
	private _rooms: ReadonlyMap<string, RegionRoom> = new Map();
	private _lost: ReadonlyMap<string, number> = new Map();

	/**
	 * @param _regions every region, with or without targets
	 * @param _homeRegions the regions in which the requests may be served; empty for any
	 */
	constructor(
		private readonly _view: FleetView,
		private readonly _service: string,
		private readonly _regions: readonly string[],
		private readonly _homeRegions: readonly string[]
	) {}

	/** What is in each region now. */
	get rooms(): ReadonlyMap<string, RegionRoom> {
		return this._rooms;
	}

	/** Part of its slots that each region lost, for those where it counts. */
	get lost(): ReadonlyMap<string, number> {
		return this._lost;
	}

	/** Looks at the targets anew. */
	update(now: Millis): void {
		const slots = this._slotsNow(now);
		const regions = new Set([...this._regions, ...slots.keys()]);
		const roomOf = (region: string): RegionRoom => ({
			slots: slots.get(region) ?? 0,
			demand: this._view.demandOf(this._service, region)
		});
		this._rooms = new Map([...regions].map(region => [region, roomOf(region)]));
		this._rememberUsual(now);
		this._lost = new Map(
			[...regions].map(region => [region, this._lostOf(region)] as const).filter(([, lost]) => lost > 0)
		);
	}

	private _slotsNow(now: Millis): Map<string, number> {
		const slots = new Map<string, number>();
		for (const target of this._view.targetsOf(this._service)) {
			const isAtHome = this._homeRegions.length === 0 || this._homeRegions.includes(target.region);
			if (isAtHome && this._takesWork(target, now)) {
				slots.set(target.region, (slots.get(target.region) ?? 0) + target.record.slots);
			}
		}
		return slots;
	}

	private _takesWork({ record, isSilent, coldUntil }: KnownTarget, now: Millis): boolean {
		return !isSilent && coldUntil <= now && !this._view.isDrained(record.hall);
	}

	private _rememberUsual(now: Millis): void {
		const kept = Math.exp((-FORGOTTEN_PER_SECOND * (now - (this._updatedAt ?? now))) / 1000);
		this._updatedAt = now;
		for (const [region, { slots }] of this._rooms) {
			this._usual.set(region, Math.max(slots, (this._usual.get(region) ?? 0) * kept));
		}
	}

	private _lostOf(region: string): number {
		const usual = this._usual.get(region) ?? 0;
		const slots = this._rooms.get(region)?.slots ?? 0;
		if (slots === 0) {
			return 1;
		}
		const lost = 1 - slots / usual;
		return lost >= LEAST_LOST ? lost : 0;
	}
}
