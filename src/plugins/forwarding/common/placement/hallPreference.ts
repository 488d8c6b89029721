/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Whether large answers should come from targets of the caller's own data hall: the way between halls costs by the byte. */

/** A hall with less than this part of what a hall of its region has on average can't serve its own callers by itself. */
const LEAST_PART_OF_MEAN = 0.8;

/**
 * Whether a hall has its part of its region's targets.
 * @param own the hall
 * @param slotsByHall slots of a service in each hall of the region
 */
export function servesItself(own: string, slotsByHall: ReadonlyMap<string, number>): boolean {
	const total = [...slotsByHall.values()].reduce((sum, slots) => sum + slots, 0);
	return (slotsByHall.get(own) ?? 0) >= (LEAST_PART_OF_MEAN * total) / Math.max(1, slotsByHall.size);
}
