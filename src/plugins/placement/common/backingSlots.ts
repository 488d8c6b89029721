/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Slots that the shares of one route rely on, by region. Only what disappears of these is a loss that requests have to leave at
 * once. Slots that have just appeared are not relied on yet: if they disappear again, hardly any requests went there.
 */

import type { Millis } from '../../../base/clock.js';
import { type RegionShares, shareOf } from './regionShares.js';

/** Smaller losses are not reported: the remaining targets of the region compensate for them. */
const MIN_LOST_FRACTION = 0.25;
/** Decay rate, per second, of slots that are gone, so that small losses over a longer time don't add up. */
const DECAY_PER_SECOND = 0.1;
/**
 * Fraction of the pace of the shares at which new slots are relied on while the region's share stays the same. Together with
 * the pace itself it stays within the shift bound, however often slots come and go.
 */
const RECOVERY_FRACTION = 0.25;

/** Available slots by region. */
export type SlotsByRegion = ReadonlyMap<string, number>;

/** Tracks the slots that the shares of one route rely on. */
export class BackingSlots {
	private readonly _slots = new Map<string, number>();

	/**
	 * Returns the fraction of its backing slots that each region has lost, 1 if it has none left; regions without a significant
	 * loss are left out.
	 */
	lostFractions(available: SlotsByRegion): ReadonlyMap<string, number> {
		const lost = new Map<string, number>();
		for (const [region, slots] of available) {
			const fraction = slots === 0 ? 1 : 1 - slots / (this._slots.get(region) ?? slots);
			if (fraction >= MIN_LOST_FRACTION) {
				lost.set(region, fraction);
			}
		}
		return lost;
	}

	/** Records that the shares no longer rely on the lost slots of a region. */
	recordWithdrawal(region: string, available: number): void {
		this._slots.set(region, available);
	}

	/**
	 * Adjusts to shares that moved at their pace. A share that grows relies on more slots in proportion.
	 * @param maxMoved fraction of the objects that the pace allowed to move
	 * @param elapsedMs time since the last update
	 */
	update(from: RegionShares, to: RegionShares, available: SlotsByRegion, maxMoved: number, elapsedMs: Millis): void {
		const decay = Math.exp((-DECAY_PER_SECOND * elapsedMs) / 1000);
		for (const [region, slots] of available) {
			const backing = this._slots.get(region);
			const before = shareOf(from, region);
			if (backing === undefined || before === 0) {
				this._slots.set(region, slots);
			} else if (backing > slots) {
				this._slots.set(region, Math.max(slots, backing * decay));
			} else {
				const growth = Math.max(1, shareOf(to, region) / before);
				this._slots.set(region, Math.min(slots, backing * growth + RECOVERY_FRACTION * maxMoved * slots));
			}
		}
	}
}
