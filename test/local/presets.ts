/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Presets for local systems: the topologies of two deployments. */

/** A service, with its number of targets and slots per target. */
export interface PresetService {
	readonly name: string;
	readonly targets: number;
	readonly slots: number;
	readonly workMs: number;
}

/** Topology of a deployment. */
export interface Preset {
	readonly regions: readonly string[];
	readonly hallsPerRegion: number;
	readonly entryInstances: number;
	readonly services: readonly PresetService[];
	/** Groups in addition to `default`, with their weights. */
	readonly groups: readonly { readonly name: string; readonly share: number }[];
	/** One-way delays in milliseconds. */
	readonly delays: { readonly betweenHalls: number; readonly betweenRegions: number; readonly toClients: number };
}

/** Deployment of the Caroni Co-operative. */
export const CARONI: Preset = {
	regions: ['north', 'central', 'south'],
	hallsPerRegion: 2,
	entryInstances: 9,
	services: [
		{ name: 'grower', targets: 24, slots: 6, workMs: 20 },
		{ name: 'controller', targets: 12, slots: 6, workMs: 20 }
	],
	groups: [
		{ name: 'growers', share: 200 },
		{ name: 'controllers', share: 300 },
		{ name: 'firmware', share: 50 }
	],
	delays: { betweenHalls: 1, betweenRegions: 35, toClients: 8 }
};

/** Deployment of the Tourist Refund Gateway. */
export const REFUND: Preset = {
	regions: ['klang', 'penang', 'johor'],
	hallsPerRegion: 2,
	entryInstances: 9,
	services: [
		{ name: 'refund', targets: 24, slots: 2, workMs: 20 },
		{ name: 'retailer', targets: 12, slots: 2, workMs: 20 }
	],
	groups: [
		{ name: 'status', share: 300 },
		{ name: 'payouts', share: 200 },
		{ name: 'settlement', share: 50 }
	],
	delays: { betweenHalls: 1.5, betweenRegions: 12, toClients: 1 }
};

/** The presets by name. */
export const PRESETS = { caroni: CARONI, refund: REFUND } as const;
