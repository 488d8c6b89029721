/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Tells heartbeats of an earlier life from those of a target that runs. A heartbeat that was held up on its way may arrive
 * after its sender has crashed and another target has registered at the same address; it must bring nobody back.
 */

import type { Millis } from '../../../base/clock.js';

/** An address whose target was heard this short a time ago is held: heartbeats come every 1.5 s, and one may be late. */
const HELD_MS = 3000;
/** Whoever registers at a held address says so again after this time, if it runs; what was held up arrives together. */
const CONFIRMED_AFTER_MS = 1000;
/** Registrations that were not confirmed are forgotten after this. */
const FORGOTTEN_MS = 10000;

/** The target that registered last at an address. */
export interface AddressHolder {
	readonly id: string;
	/** When it was last heard; undefined for never. */
	readonly heardAt: Millis | undefined;
}

/** Judges heartbeats by who holds their address. */
export class EarlierLives {
	/** When each target that would register at a held address was first heard. */
	private readonly _firstHeardAt = new Map<string, Millis>();

	/**
	 * Whether a heartbeat is to change nothing.
	 * @param isKnown whether the target has registered
	 * @param holder who registered last at its address; undefined for nobody, or for one that is gone
	 */
	isStale(id: string, isKnown: boolean, holder: AddressHolder | undefined, now: Millis): boolean {
		if (!holder || holder.id === id) {
			return false;
		}
		return isKnown || (this._isHeld(holder, now) && !this._isConfirmed(id, now));
	}

	private _isHeld({ heardAt }: AddressHolder, now: Millis): boolean {
		return heardAt !== undefined && now - heardAt <= HELD_MS;
	}

	private _isConfirmed(id: string, now: Millis): boolean {
		this._forget(now);
		const firstHeardAt = this._firstHeardAt.get(id);
		if (firstHeardAt === undefined) {
			this._firstHeardAt.set(id, now);
			return false;
		}
		return now - firstHeardAt >= CONFIRMED_AFTER_MS;
	}

	private _forget(now: Millis): void {
		for (const [id, firstHeardAt] of this._firstHeardAt) {
			if (now - firstHeardAt > FORGOTTEN_MS) {
				this._firstHeardAt.delete(id);
			}
		}
	}
}
