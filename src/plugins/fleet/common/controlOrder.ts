/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Which control instance an entry instance asks: the nearest one that answers. Each asks twice a second, so that on a fleet
 * of hundreds the way counts: answers from another region cost their bytes there, and three instances that all have heard of
 * from the start would bear the calls of the whole fleet.
 */

import type { Millis } from '../../../base/clock.js';
import { rendezvousRank } from '../../../base/hashing.js';
import type { ControlAddress } from './fleetWire.js';

/** One that did not answer, or was not current, is asked after all others for this long; a restart takes less. */
const AVOIDED_MS = 3000;
/** How often a nearer one is tried while another one answers. */
const TRY_NEARER_MS = 1000;

/** Steps of distance; one whose place is not known goes last. */
enum Distance {
	SameHall,
	SameRegion,
	OtherRegion,
	Unknown
}

/** Where the entry instance is. */
export interface AskerPlace {
	readonly name: string;
	readonly hall: string;
	readonly region: string;
}

/** The control instances in the order in which they are asked; pure, it is told the time. */
export class ControlOrder {
	/** Distance by address, in the order in which they are asked. */
	private _ranked: readonly (readonly [string, Distance])[] = [];
	private readonly _failedAt = new Map<string, Millis>();
	private _settledOn: string | undefined;
	private _triedNearerAt: Millis = Number.NEGATIVE_INFINITY;

	/** @param _regionOf the region of a hall; undefined for a hall that is not known */
	constructor(
		private readonly _own: AskerPlace,
		private readonly _regionOf: (hall: string) => string | undefined
	) {}

	/** The control instance that answers; undefined while none does. */
	get settledOn(): string | undefined {
		return this._settledOn;
	}

	/**
	 * Takes in which control instances there are.
	 * @param seeds addresses whose place is not known
	 */
	learn(controls: readonly ControlAddress[], seeds: readonly string[]): void {
		const distances = new Map<string, Distance>(seeds.map(address => [address, Distance.Unknown]));
		controls.forEach(control => distances.set(control.address, this._distanceOf(control)));
		// Those at the same distance are asked in an order of this instance's own, which spreads the instances over them.
		const ranked = rendezvousRank(this._own.name, [...distances.keys()]);
		this._ranked = ranked.map(address => [address, distances.get(address)!] as const).sort(([, a], [, b]) => a - b);
	}

	/** The one to ask now; undefined where none is known. */
	next(now: Millis): string | undefined {
		return this._settledOn ?? this._nearest(now) ?? this._longestFailed();
	}

	/** All in the order in which they are asked; those that failed of late come last. */
	inOrder(now: Millis): readonly string[] {
		const addresses = this._ranked.map(([address]) => address);
		const avoided = new Set(addresses.filter(address => this._isAvoided(address, now)));
		const isFirst = (address: string): boolean => address === this._settledOn;
		const sound = addresses.filter(address => !isFirst(address) && !avoided.has(address));
		return [...addresses.filter(isFirst), ...sound, ...avoided];
	}

	/** A nearer one than the one that answers, if it is time to try it; it counts as tried. */
	takeNearer(now: Millis): string | undefined {
		const nearest = this._nearest(now);
		const isNearer =
			nearest !== undefined && this._settledOn !== undefined && this._rankOf(nearest) < this._rankOf(this._settledOn);
		if (!isNearer || now - this._triedNearerAt < TRY_NEARER_MS) {
			return undefined;
		}
		this._triedNearerAt = now;
		return nearest;
	}

	/** It gave a current answer, late or not. */
	noteCurrent(address: string): void {
		this._failedAt.delete(address);
		if (this._settledOn === undefined || this._rankOf(address) <= this._rankOf(this._settledOn)) {
			this._settledOn = address;
		}
	}

	/** It gave no answer in time, or was not current itself. */
	noteFailure(address: string, now: Millis): void {
		this._failedAt.set(address, now);
		if (this._settledOn === address) {
			this._settledOn = undefined;
		}
	}

	private _distanceOf({ hall }: ControlAddress): Distance {
		if (hall === undefined) {
			return Distance.Unknown;
		}
		if (hall === this._own.hall) {
			return Distance.SameHall;
		}
		return this._regionOf(hall) === this._own.region ? Distance.SameRegion : Distance.OtherRegion;
	}

	private _rankOf(address: string): Distance {
		return this._ranked.find(([known]) => known === address)?.[1] ?? Distance.Unknown;
	}

	private _nearest(now: Millis): string | undefined {
		return this._ranked.find(([address]) => !this._isAvoided(address, now))?.[0];
	}

	private _isAvoided(address: string, now: Millis): boolean {
		return now - (this._failedAt.get(address) ?? Number.NEGATIVE_INFINITY) < AVOIDED_MS;
	}

	private _longestFailed(): string | undefined {
		const failedAt = ([address]: readonly [string, Distance]): Millis => this._failedAt.get(address) ?? 0;
		return [...this._ranked].sort((a, b) => failedAt(a) - failedAt(b))[0]?.[0];
	}
}
