/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Applies placement changes within the cap of each group per time window, also when an instance was disconnected and missed
 * several stages of a change. Callers pass the current time.
 */

import type { Millis } from '../../../base/clock.js';
import {
	type ConfigurationTable,
	type GroupConfiguration,
	type Placement,
	type Revision
} from '../../configuration/common/configuration.js';
import { countMovedBuckets, moveTowards } from '../../configuration/common/placementBuckets.js';

/** Number of buckets moved at one time. */
interface RecentMove {
	readonly at: Millis;
	readonly buckets: number;
}

/** Placement of one group and home region, in effect and as configured. */
interface PacedPlacement {
	effective: Placement;
	target: Placement;
	recentMoves: RecentMove[];
}

/** Placements in effect at one entry instance. */
export class PlacementPacer {
	private readonly _placements = new Map<string, PacedPlacement>();
	private _groups = new Map<string, GroupConfiguration>();
	private _targetRevision: Revision = 0;
	private _revisionInForce: Revision = 0;
	private _isFirstConfiguration = true;

	/** Latest revision that is fully in effect. */
	get revisionInForce(): Revision {
		return this._revisionInForce;
	}

	/** The placement in effect for the clients of a group with the given home region. */
	placement(group: string, home: string): Placement {
		return this._placements.get(`${group}|${home}`)?.effective ?? { group, home, ranges: [] };
	}

	/** Sets the configuration to move to. The first one after a start takes effect at once, as no clients were placed before. */
	applyConfiguration(table: ConfigurationTable, now: Millis): void {
		this._groups = new Map(table.groups.map(group => [group.name, group]));
		this._targetRevision = table.revision;
		const targets = new Map(table.placements.map(item => [`${item.group}|${item.home}`, item]));
		for (const [key, paced] of this._placements) {
			paced.target = targets.get(key) ?? { ...paced.target, ranges: [] };
		}
		for (const [key, target] of targets) {
			if (!this._placements.has(key)) {
				const effective = this._isFirstConfiguration ? target : { ...target, ranges: [] };
				this._placements.set(key, { effective, target, recentMoves: [] });
			}
		}
		this._isFirstConfiguration = false;
		this.advance(now);
	}

	/** Moves as many buckets as the caps allow now; returns whether the revision in force changed. */
	advance(now: Millis): boolean {
		if (this._revisionInForce === this._targetRevision) {
			return false;
		}
		let isComplete = true;
		for (const paced of this._placements.values()) {
			this._advancePlacement(paced, now);
			isComplete &&= countMovedBuckets(paced.effective, paced.target) === 0;
		}
		if (isComplete) {
			this._revisionInForce = this._targetRevision;
		}
		return isComplete;
	}

	private _advancePlacement(paced: PacedPlacement, now: Millis): void {
		const remaining = countMovedBuckets(paced.effective, paced.target);
		if (remaining === 0) {
			return;
		}
		const group = this._groups.get(paced.target.group);
		const windowMs = group?.capWindowMs ?? 0;
		paced.recentMoves = paced.recentMoves.filter(move => now - move.at < windowMs);
		const moved = paced.recentMoves.reduce((sum, move) => sum + move.buckets, 0);
		const allowed = Math.min(remaining, (group?.capPermille ?? remaining) - moved);
		if (allowed <= 0) {
			return;
		}
		paced.effective = moveTowards(paced.effective, paced.target, allowed);
		paced.recentMoves.push({ at: now, buckets: allowed });
	}
}
