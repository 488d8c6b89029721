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
 * A target at the address of another one is confirmed by a heartbeat this long after its first. Delayed heartbeats arrive together,
 * so that they confirm nothing.
 */
const CONFIRMATION_DELAY_MS = 1000;
/** After a pause of this length a target has to be confirmed again. */
const MAX_PAUSE_MS = 4000;

/** The last target to register at an address. */
export interface AddressOwner {
	readonly id: string;
	/** When its last heartbeat arrived; the start of the control instance if none has. */
	readonly lastHeartbeatAt: Millis;
}

/** Heartbeats of a target at an address that another one owns, without a longer pause between them. */
interface HeartbeatSeries {
	readonly firstAt: Millis;
	readonly lastAt: Millis;
}

/** Detects stale heartbeats by the owner of their address. */
export class StaleHeartbeatFilter {
	/** By target id. */
	private readonly _series = new Map<string, HeartbeatSeries>();

	/**
	 * Whether a heartbeat is to be ignored as stale. A target that goes on sending heartbeats is running, although another one whose
	 * heartbeat was delayed may have registered at its address.
	 * @param isRegistered whether this incarnation of the target is registered
	 * @param owner the last target to register at its address; undefined if there is none or it is gone
	 */
	isStale(id: string, isRegistered: boolean, owner: AddressOwner | undefined, now: Millis): boolean {
		if (!owner || owner.id === id) {
			return false;
		}
		const isConfirmed = this._isConfirmed(id, now);
		return !isConfirmed && (isRegistered || this._isLive(owner, now));
	}

	private _isLive({ lastHeartbeatAt }: AddressOwner, now: Millis): boolean {
		return now - lastHeartbeatAt <= OWNER_LIVE_MS;
	}

	private _isConfirmed(id: string, now: Millis): boolean {
		this._dropPaused(now);
		const firstAt = this._series.get(id)?.firstAt ?? now;
		this._series.set(id, { firstAt, lastAt: now });
		return now - firstAt >= CONFIRMATION_DELAY_MS;
	}

	private _dropPaused(now: Millis): void {
		for (const [id, { lastAt }] of this._series) {
			if (now - lastAt > MAX_PAUSE_MS) {
				this._series.delete(id);
			}
		}
	}
}
