/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The replicated configuration that entry instances apply: groups, placements of their clients, and drained items. */

/** Number of buckets that the clients of a group are hashed into; one bucket is 0.1 % of the clients. */
export const BUCKET_COUNT = 1000;

/** Revision of the configuration; increases by one with every change. */
export type Revision = number;

/** Capacity weight of a group, and the limit on the rate at which its clients are moved between regions. */
export interface GroupConfiguration {
	readonly name: string;
	/** Weight relative to the other groups when capacity is insufficient, 1 to 1000. */
	readonly share: number;
	/** Maximum number of its buckets that may move within a window, 1 to 1000 (0.1 % each). */
	readonly capPermille: number;
	/** Length of that window in milliseconds. */
	readonly capWindowMs: number;
}

/** Buckets from `from` (inclusive) to `to` (exclusive) that are assigned to a region other than their home. */
export interface PlacementRange {
	readonly from: number;
	readonly to: number;
	readonly region: string;
}

/** Assignment of a group's clients of one home region; buckets in no range are assigned to the home region. */
export interface Placement {
	readonly group: string;
	readonly home: string;
	/** Sorted and not overlapping. */
	readonly ranges: readonly PlacementRange[];
}

/** Kinds of items that can be drained. */
export enum DrainScope {
	Target = 'target',
	Instance = 'instance',
	Hall = 'hall',
	Region = 'region'
}

/** An item that receives no new requests. */
export interface DrainedItem {
	readonly scope: DrainScope;
	readonly name: string;
}

/** A change of one part of the configuration. */
export type ConfigurationChange =
	| { readonly type: 'group'; readonly group: GroupConfiguration }
	| { readonly type: 'placement'; readonly placement: Placement }
	| { readonly type: 'leaving'; readonly item: DrainedItem; readonly present: boolean };

/** The complete configuration in serializable form. */
export interface ConfigurationSnapshot {
	readonly revision: Revision;
	readonly groups: readonly GroupConfiguration[];
	readonly placements: readonly Placement[];
	readonly leaving: readonly DrainedItem[];
}

/** The changes of one revision, to be applied to the previous revision. */
export interface ConfigurationDelta {
	readonly revision: Revision;
	readonly changes: readonly ConfigurationChange[];
}

function placementKey(group: string, home: string): string {
	return `${group}|${home}`;
}

function drainedKey(scope: DrainScope, name: string): string {
	return `${scope}|${name}`;
}

/** The configuration at its current revision, updated by deltas. */
export class ConfigurationTable {
	private _revision: Revision = 0;
	private readonly _groups = new Map<string, GroupConfiguration>();
	private readonly _placements = new Map<string, Placement>();
	private readonly _drained = new Map<string, DrainedItem>();

	constructor(snapshot?: ConfigurationSnapshot) {
		if (!snapshot) {
			return;
		}
		this._revision = snapshot.revision;
		snapshot.groups.forEach(group => this._groups.set(group.name, group));
		snapshot.placements.forEach(item => this._placements.set(placementKey(item.group, item.home), item));
		snapshot.leaving.forEach(item => this._drained.set(drainedKey(item.scope, item.name), item));
	}

	/** Current revision; 0 if no change was applied yet. */
	get revision(): Revision {
		return this._revision;
	}

	/** All groups, sorted by name. */
	get groups(): GroupConfiguration[] {
		return [...this._groups.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
	}

	/** All placements that assign a bucket to a region other than its home. */
	get placements(): Placement[] {
		return [...this._placements.values()];
	}

	/** All drained items. */
	get leaving(): DrainedItem[] {
		return [...this._drained.values()];
	}

	group(name: string): GroupConfiguration | undefined {
		return this._groups.get(name);
	}

	/** Placement of a group's clients of one home region; without ranges if they are all at home. */
	placement(group: string, home: string): Placement {
		return this._placements.get(placementKey(group, home)) ?? { group, home, ranges: [] };
	}

	isDrained(scope: DrainScope, name: string): boolean {
		return this._drained.has(drainedKey(scope, name));
	}

	/**
	 * Applies the changes of the next revision.
	 * @throws Error if the delta is not for the revision after the current one
	 */
	apply(delta: ConfigurationDelta): void {
		if (delta.revision !== this._revision + 1) {
			throw new Error(`cannot apply the delta of revision ${delta.revision} to revision ${this._revision}`);
		}
		delta.changes.forEach(change => this._applyChange(change));
		this._revision = delta.revision;
	}

	snapshot(): ConfigurationSnapshot {
		return {
			revision: this._revision,
			groups: this.groups,
			placements: this.placements,
			leaving: this.leaving
		};
	}

	private _applyChange(change: ConfigurationChange): void {
		switch (change.type) {
			case 'group':
				this._groups.set(change.group.name, change.group);
				return;
			case 'placement':
				this._setPlacement(change.placement);
				return;
			case 'leaving':
				this._setDrained(change.item, change.present);
				return;
		}
	}

	private _setPlacement(placement: Placement): void {
		const key = placementKey(placement.group, placement.home);
		if (placement.ranges.length === 0) {
			this._placements.delete(key);
		} else {
			this._placements.set(key, placement);
		}
	}

	private _setDrained(item: DrainedItem, present: boolean): void {
		const key = drainedKey(item.scope, item.name);
		if (present) {
			this._drained.set(key, item);
		} else {
			this._drained.delete(key);
		}
	}
}
