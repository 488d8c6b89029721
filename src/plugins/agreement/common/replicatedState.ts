/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The replicated state, made up of parts that features register. */

import { decode, encode } from '@msgpack/msgpack';
import type { LogIndex } from './agreementTypes.js';

/** A command for a part of the replicated state. */
export interface PartCommand {
	/** Id of the part that applies the command. */
	readonly part: string;
	readonly body: unknown;
}

/** The replicated state of a feature; `apply` must be deterministic. */
export interface IReplicatedPart {
	readonly id: string;
	/** Applies a committed command and returns the result for its proposer. */
	apply(body: unknown, index: LogIndex): unknown;
	/** Returns the state for `restore`, as plain data that MessagePack can encode. */
	save(): unknown;
	/** Replaces the state with a saved one. */
	restore(saved: unknown): void;
}

/** A command is for a part that this program does not have; to pass over it would lose state. */
export class UnknownPartError extends Error {
	constructor(part: string, index: LogIndex) {
		super(`entry ${index} has a command for the unknown part '${part}'`);
		this.name = 'UnknownPartError';
	}
}

/** All parts of the replicated state. */
export class ReplicatedState {
	private readonly _parts = new Map<string, IReplicatedPart>();

	/** Registers a part; must be called before the log is opened. */
	addPart(part: IReplicatedPart): void {
		if (this._parts.has(part.id)) {
			throw new Error(`replicated part '${part.id}' is already registered`);
		}
		this._parts.set(part.id, part);
	}

	/**
	 * Applies a committed command to its part and returns the result.
	 * @throws UnknownPartError
	 * @throws an error of the part
	 */
	apply(command: PartCommand, index: LogIndex): unknown {
		const part = this._parts.get(command.part);
		if (!part) {
			throw new UnknownPartError(command.part, index);
		}
		return part.apply(command.body, index);
	}

	/** Encodes the state of all parts. */
	save(): Uint8Array {
		const saved = [...this._parts.values()].map(part => ({ id: part.id, saved: part.save() }));
		return encode(saved, { ignoreUndefined: true });
	}

	/** Replaces the state of all parts with an encoded one; parts that are not registered are ignored. */
	restore(data: Uint8Array): void {
		for (const { id, saved } of decode(data) as { id: string; saved: unknown }[]) {
			this._parts.get(id)?.restore(saved);
		}
	}
}
