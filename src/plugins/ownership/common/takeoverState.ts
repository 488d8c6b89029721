/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Takeovers of targets, replicated so that they survive a change of the leader. */

import type { IReplicatedPart } from '../../agreement/common/replicatedState.js';

/** Id of the replicated part. */
export const TAKEOVER_PART = 'takeover';

/** Starts or ends the takeover of the targets of the instance `of` by its sibling `by`. */
export interface TakeoverCommand {
	readonly type: 'takeOver' | 'giveBack';
	readonly of: string;
	readonly by: string;
	/** Version of the instance's ownership that the command is based on; refused after any other change. */
	readonly base: number;
}

/** Who owns the targets of an instance. */
export interface TargetOwnership {
	/** The sibling that has taken over; absent when there is none. */
	readonly takenOverBy?: string;
	/** Increases with each takeover and each end of one; 0 before the first. */
	readonly version: number;
}

/** The result of applying a command. */
export interface TakeoverResult {
	/** False when the command is outdated, or the targets are taken over by another instance. */
	readonly ok: boolean;
}

const NEVER_TAKEN_OVER: TargetOwnership = { version: 0 };

/** The takeovers in force. */
export class TakeoverState implements IReplicatedPart {
	readonly id = TAKEOVER_PART;
	/** By the instance that the targets are assigned to. */
	private _ownerships = new Map<string, TargetOwnership>();

	/** Who owns the targets of an instance. */
	ownership(instance: string): TargetOwnership {
		return this._ownerships.get(instance) ?? NEVER_TAKEN_OVER;
	}

	/** All instances whose targets were taken over at some time. */
	get ownerships(): Readonly<Record<string, TargetOwnership>> {
		return Object.fromEntries(this._ownerships);
	}

	apply(body: unknown): TakeoverResult {
		const { type, of, by, base } = body as TakeoverCommand;
		const { takenOverBy, version } = this.ownership(of);
		const isInForce = type === 'takeOver' ? takenOverBy === by : takenOverBy !== by;
		if (isInForce) {
			return { ok: true };
		}
		if (base !== version || (type === 'takeOver' && takenOverBy !== undefined)) {
			return { ok: false };
		}
		const next = { version: version + 1 };
		this._ownerships.set(of, type === 'takeOver' ? { ...next, takenOverBy: by } : next);
		return { ok: true };
	}

	save(): unknown {
		return [...this._ownerships];
	}

	restore(saved: unknown): void {
		const ownerships = saved as [string, TargetOwnership | string][];
		this._ownerships = new Map(ownerships.map(([instance, ownership]) => [instance, toOwnership(ownership)]));
	}
}

/** Reads a saved ownership; earlier versions saved the sibling that has taken over. */
function toOwnership(saved: TargetOwnership | string): TargetOwnership {
	return typeof saved === 'string' ? { takenOverBy: saved, version: 0 } : saved;
}
