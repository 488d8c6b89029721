/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Takeovers of targets, replicated so that they survive a change of the leader. */

import type { IReplicatedPart } from '../../agreement/common/replicatedState.js';

/** Id of the replicated part. */
export const TAKEOVER_PART = 'takeover';

/** Starts or ends the takeover of the targets of the instance `of` by its sibling `by`. */
export type TakeoverCommand =
	| { readonly type: 'takeOver'; readonly of: string; readonly by: string }
	| { readonly type: 'giveBack'; readonly of: string; readonly by: string };

/** The result of applying a command. */
export interface TakeoverResult {
	/** False when the targets are already taken over by another instance. */
	readonly ok: boolean;
}

/** The takeovers in force. */
export class TakeoverState implements IReplicatedPart {
	readonly id = TAKEOVER_PART;
	/** The sibling that has taken over, by the instance whose targets it has. */
	private _takenOverBy = new Map<string, string>();

	/** The sibling that has taken over the targets of an instance; undefined when there is none. */
	takenOverBy(instance: string): string | undefined {
		return this._takenOverBy.get(instance);
	}

	apply(body: unknown): TakeoverResult {
		const command = body as TakeoverCommand;
		const takenOverBy = this._takenOverBy.get(command.of);
		if (command.type === 'takeOver') {
			const ok = takenOverBy === undefined || takenOverBy === command.by;
			if (ok) {
				this._takenOverBy.set(command.of, command.by);
			}
			return { ok };
		}
		if (takenOverBy === command.by) {
			this._takenOverBy.delete(command.of);
		}
		return { ok: true };
	}

	save(): unknown {
		return [...this._takenOverBy];
	}

	restore(saved: unknown): void {
		this._takenOverBy = new Map(saved as [string, string][]);
	}
}
