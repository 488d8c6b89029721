/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Chooses the entry instance that a request is relayed to. */

import type { Millis } from '../../../base/clock.js';
import type { EntryPeer } from '../../fleet/common/fleetWire.js';

/** How long a peer is left out after it could not be reached or declined a request. */
const FAILURE_PAUSE_MS: Millis = 1000;

/** What a peer has to meet. */
export interface PeerRequirements {
	/** Regions in which the request may be handled; empty for any. */
	readonly homeRegions: readonly string[];
	/** Names of peers that have been tried. */
	readonly tried: ReadonlySet<string>;
}

/** Spreads relayed requests over peers: by their number in progress, in the own region first. */
export class RelayPeers {
	private readonly _inFlight = new Map<string, number>();
	private readonly _failedAt = new Map<string, Millis>();

	/** @param _region region of this instance */
	constructor(private readonly _region: string) {}

	/** The peer for a request; undefined if there is none. */
	choose(peers: readonly EntryPeer[], { homeRegions, tried }: PeerRequirements, now: Millis): EntryPeer | undefined {
		const usable = peers.filter(
			({ name, region }) =>
				!tried.has(name) &&
				(homeRegions.length === 0 || homeRegions.includes(region)) &&
				now - (this._failedAt.get(name) ?? Number.NEGATIVE_INFINITY) >= FAILURE_PAUSE_MS
		);
		const nearby = usable.filter(({ region }) => region === this._region);
		return this._leastBusy(nearby.length > 0 ? nearby : usable);
	}

	/** Records a request that is relayed to a peer. */
	begin({ name }: EntryPeer): void {
		this._inFlight.set(name, this._inFlightOf(name) + 1);
	}

	/** Records the end of a relayed request. */
	end({ name }: EntryPeer): void {
		const inFlight = this._inFlightOf(name) - 1;
		if (inFlight > 0) {
			this._inFlight.set(name, inFlight);
		} else {
			this._inFlight.delete(name);
		}
	}

	/** Records that a peer did not take a request. */
	recordFailure({ name }: EntryPeer, now: Millis): void {
		this._failedAt.set(name, now);
	}

	/** A random one of those with the fewest requests. */
	private _leastBusy(peers: readonly EntryPeer[]): EntryPeer | undefined {
		const fewest = Math.min(...peers.map(({ name }) => this._inFlightOf(name)));
		const leastBusy = peers.filter(({ name }) => this._inFlightOf(name) === fewest);
		return leastBusy[Math.floor(Math.random() * leastBusy.length)];
	}

	private _inFlightOf(name: string): number {
		return this._inFlight.get(name) ?? 0;
	}
}
