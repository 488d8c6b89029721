/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Selects the control instance that an entry instance synchronizes with: the nearest one that responds. This limits traffic
 * between regions and keeps the load of a large fleet off the few control instances that are configured as seeds.
 */

import type { Millis } from '../../../base/clock.js';
import { rendezvousRank } from '../../../base/hashing.js';
import type { ControlAddress } from './fleetWire.js';

/** How long a control instance that failed ranks behind all others; longer than a restart takes. */
const FAILURE_BACKOFF_MS = 3000;
/** Minimum time between attempts to switch to a nearer control instance. */
const NEARER_RETRY_INTERVAL_MS = 1000;

/** Distance classes, nearest first. */
enum Distance {
	SameHall,
	SameRegion,
	OtherRegion,
	Unknown
}

/** Name and location of the entry instance. */
export interface EntryLocation {
	readonly name: string;
	readonly hall: string;
	readonly region: string;
}

/** Ranks control instances by distance and recent failures. Does no I/O; callers pass the time. */
export class ControlSelector {
	/** Address and distance of each control instance, nearest first. */
	private _rankedAddresses: readonly (readonly [string, Distance])[] = [];
	private readonly _failedAt = new Map<string, Millis>();
	private _activeAddress: string | undefined;
	private _nearerTriedAt: Millis = Number.NEGATIVE_INFINITY;

	/** @param _regionOf region of a data hall; undefined for an unknown hall */
	constructor(
		private readonly _location: EntryLocation,
		private readonly _regionOf: (hall: string) => string | undefined
	) {}

	/** Address of the control instance in use; undefined while none gives current responses. */
	get activeAddress(): string | undefined {
		return this._activeAddress;
	}

	/**
	 * Replaces the known control instances.
	 * @param seeds configured addresses, whose location is unknown
	 */
	setControls(controls: readonly ControlAddress[], seeds: readonly string[]): void {
		const distances = new Map<string, Distance>(seeds.map(address => [address, Distance.Unknown]));
		controls.forEach(control => distances.set(control.address, this._distanceOf(control)));
		// Rendezvous hashing by entry name spreads the entry instances over control instances at the same distance.
		const byHash = rendezvousRank(this._location.name, [...distances.keys()]);
		this._rankedAddresses = byHash
			.map(address => [address, distances.get(address)!] as const)
			.sort(([, a], [, b]) => a - b);
	}

	/** Address to use for the next request; undefined if no control instance is known. */
	next(now: Millis): string | undefined {
		return this._activeAddress ?? this._nearestAvailable(now) ?? this._leastRecentlyFailed();
	}

	/** All addresses: the one in use first, then by distance, those that failed recently last. */
	addressesByPreference(now: Millis): readonly string[] {
		const addresses = this._rankedAddresses.map(([address]) => address);
		const backingOff = new Set(addresses.filter(address => this._isBackingOff(address, now)));
		const isActive = (address: string): boolean => address === this._activeAddress;
		const available = addresses.filter(address => !isActive(address) && !backingOff.has(address));
		return [...addresses.filter(isActive), ...available, ...backingOff];
	}

	/** An available control instance nearer than the one in use, if a retry is due; starts the next retry interval. */
	takeNearerCandidate(now: Millis): string | undefined {
		const nearest = this._nearestAvailable(now);
		const isNearer =
			nearest !== undefined &&
			this._activeAddress !== undefined &&
			this._distanceTo(nearest) < this._distanceTo(this._activeAddress);
		if (!isNearer || now - this._nearerTriedAt < NEARER_RETRY_INTERVAL_MS) {
			return undefined;
		}
		this._nearerTriedAt = now;
		return nearest;
	}

	/** Records a current response, which may have been late; uses this control instance unless the one in use is nearer. */
	recordCurrentAnswer(address: string): void {
		this._failedAt.delete(address);
		if (this._activeAddress === undefined || this._distanceTo(address) <= this._distanceTo(this._activeAddress)) {
			this._activeAddress = address;
		}
	}

	/** Records that there was no response in time, or that it was not current. */
	recordFailedRequest(address: string, now: Millis): void {
		this._failedAt.set(address, now);
		if (this._activeAddress === address) {
			this._activeAddress = undefined;
		}
	}

	private _distanceOf({ hall }: ControlAddress): Distance {
		if (hall === undefined) {
			return Distance.Unknown;
		}
		if (hall === this._location.hall) {
			return Distance.SameHall;
		}
		return this._regionOf(hall) === this._location.region ? Distance.SameRegion : Distance.OtherRegion;
	}

	private _distanceTo(address: string): Distance {
		return this._rankedAddresses.find(([known]) => known === address)?.[1] ?? Distance.Unknown;
	}

	private _nearestAvailable(now: Millis): string | undefined {
		return this._rankedAddresses.find(([address]) => !this._isBackingOff(address, now))?.[0];
	}

	private _isBackingOff(address: string, now: Millis): boolean {
		return now - (this._failedAt.get(address) ?? Number.NEGATIVE_INFINITY) < FAILURE_BACKOFF_MS;
	}

	private _leastRecentlyFailed(): string | undefined {
		const failedAt = ([address]: readonly [string, Distance]): Millis => this._failedAt.get(address) ?? 0;
		return [...this._rankedAddresses].sort((a, b) => failedAt(a) - failedAt(b))[0]?.[0];
	}
}
