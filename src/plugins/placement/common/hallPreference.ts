/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Decides whether large responses are preferably served within the caller's own data hall: traffic between halls is charged by
 * the byte.
 */

/** A hall with less than this fraction of the mean slots per hall of its region can't serve its own callers alone. */
const MIN_FRACTION_OF_MEAN = 0.8;

/**
 * Returns whether a hall has roughly the mean number of slots of the halls of its region, or more.
 * @param own the hall
 * @param slotsByHall slots of a service in each hall of the region
 */
export function hasProportionateSlots(own: string, slotsByHall: ReadonlyMap<string, number>): boolean {
	const total = [...slotsByHall.values()].reduce((sum, slots) => sum + slots, 0);
	return (slotsByHall.get(own) ?? 0) >= (MIN_FRACTION_OF_MEAN * total) / Math.max(1, slotsByHall.size);
}
