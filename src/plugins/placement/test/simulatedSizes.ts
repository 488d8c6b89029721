/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Regions and sizes of simulated systems. */

/** All regions; callers and instances are in one of them. */
export const REGIONS = ['north', 'central', 'south'] as const;

/** Sizes of a simulated system. */
export interface SimulatedSizes {
	/** The region of the callers. */
	readonly ownRegion: (typeof REGIONS)[number];
	/** Entry instances of that region. */
	readonly instances: number;
	/** Requests per second of each instance, by route. */
	readonly rates: Readonly<Record<string, number>>;
	/** Number of objects that requests are about. */
	readonly objects: number;
	/** Number of targets by service and region. */
	readonly targets: Readonly<Record<string, Readonly<Record<string, number>>>>;
}

/** Most requests run elsewhere, as the own region has few targets; the two services differ in their proportions. */
export const LARGE_SYSTEM: SimulatedSizes = {
	ownRegion: 'central',
	instances: 12,
	rates: { '/reads/': 30, '/commands/': 10 },
	objects: 2000,
	targets: {
		reads: { north: 40, central: 8, south: 32 },
		commands: { north: 2, central: 2, south: 30 }
	}
};

/** Most requests run in the own region, and targets elsewhere get a request now and then. */
export const SMALL_SYSTEM: SimulatedSizes = {
	ownRegion: 'north',
	instances: 3,
	rates: { '/reads/': 60, '/commands/': 10 },
	objects: 120,
	targets: {
		reads: { north: 12, central: 2, south: 10 },
		commands: { north: 6, central: 2, south: 4 }
	}
};
