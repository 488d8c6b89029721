/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Decides when the next stage of a plan may begin. */

import type { Millis } from '../../../base/clock.js';
import type { GroupConfiguration, Revision } from '../../configuration/common/configuration.js';
import type { PlanStage } from '../../configuration/common/intents.js';

/** Latest move of a group's clients by any plan. */
interface GroupMove {
	readonly revision: Revision;
	/** Time at which all live instances had applied it; undefined until then. */
	inForceAt?: Millis;
}

/** Enforces the minimum time between moves of each group, so that all plans that move its clients share one cap. */
export class ShiftPacing {
	private readonly _lastMoves = new Map<string, GroupMove>();

	/** Records that a revision moves clients of a group. */
	recordMove(group: string, revision: Revision): void {
		this._lastMoves.set(group, { revision });
	}

	/**
	 * Records that all live instances have applied the configuration up to a revision.
	 * @param now time of this observation
	 */
	recordRevisionInForce(revision: Revision, now: Millis): void {
		for (const move of this._lastMoves.values()) {
			if (move.inForceAt === undefined && move.revision <= revision) {
				move.inForceAt = now;
			}
		}
	}

	/**
	 * Returns whether a stage may begin now: the latest move of each group it moves was applied, and since then the
	 * look-up TTL and the cap window of the group have passed. Thus no window contains moves of two stages.
	 */
	canBeginStage(
		stage: PlanStage,
		getGroup: (name: string) => GroupConfiguration | undefined,
		lookupTtlMs: Millis,
		now: Millis
	): boolean {
		const groups = new Set(stage.moves.map(move => move.group));
		return [...groups].every(name => {
			const last = this._lastMoves.get(name);
			const windowMs = getGroup(name)?.capWindowMs ?? 0;
			if (!last) {
				return true;
			}
			return last.inForceAt !== undefined && now - last.inForceAt >= windowMs + lookupTtlMs;
		});
	}
}
