/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Detects delayed heartbeats of targets that no longer run. Such a heartbeat may arrive after its sender has crashed and
 * another target has registered at the same address; it must not register the crashed target again.
 */

import type { Millis } from '../../../base/clock.js';

/** Maximum age of the owner's last heartbeat for it to count as live: heartbeats are sent every 1.5 s, and one may be late. */
const OWNER_LIVE_MS = 3000;
/**
 * A new target at the address of a live one is confirmed by a heartbeat this long after its first. Delayed heartbeats arrive
 * together, so that they confirm nothing.
 */
const CONFIRMATION_DELAY_MS = 1000;
/** Unconfirmed targets are dropped after this time. */
const PENDING_EXPIRY_MS = 10000;

/** The last target to register at an address. */
export interface AddressOwner {
	readonly id: string;
	/** When its last heartbeat arrived; undefined if none has. */
	readonly lastHeartbeatAt: Millis | undefined;
}

/** Detects stale heartbeats by the owner of their address. */
export class StaleHeartbeatFilter {
	/** When the first heartbeat of each unconfirmed target arrived, by id. */
	private readonly _firstHeartbeatAt = new Map<string, Millis>();

	/**
	 * Whether a heartbeat is to be ignored as stale.
	 * @param isRegistered whether this incarnation of the target is registered
	 * @param owner the last target to register at its address; undefined if there is none or it is gone
	 */
	isStale(id: string, isRegistered: boolean, owner: AddressOwner | undefined, now: Millis): boolean {
		if (!owner || owner.id === id) {
			return false;
		}
		return isRegistered || (this._isLive(owner, now) && !this._isConfirmed(id, now));
	}

	private _isLive({ lastHeartbeatAt }: AddressOwner, now: Millis): boolean {
		return lastHeartbeatAt !== undefined && now - lastHeartbeatAt <= OWNER_LIVE_MS;
	}

	private _isConfirmed(id: string, now: Millis): boolean {
		this._dropExpired(now);
		const firstHeartbeatAt = this._firstHeartbeatAt.get(id);
		if (firstHeartbeatAt === undefined) {
			this._firstHeartbeatAt.set(id, now);
			return false;
		}
		return now - firstHeartbeatAt >= CONFIRMATION_DELAY_MS;
	}

	private _dropExpired(now: Millis): void {
		for (const [id, firstHeartbeatAt] of this._firstHeartbeatAt) {
			if (now - firstHeartbeatAt > PENDING_EXPIRY_MS) {
				this._firstHeartbeatAt.delete(id);
			}
		}
	}
}
