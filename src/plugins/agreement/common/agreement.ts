/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Interface of the replicated log for other features. */

import type { Event } from '../../../base/event.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { LogIndex, Member, MemberId, ReplicaRole } from './agreementTypes.js';
import type { IReplicatedPart, PartCommand } from './replicatedState.js';

/** This replica is not the leader; nothing was appended. */
export class NotLeaderError extends Error {
	constructor(readonly leader: MemberId | undefined) {
		super(leader ? `the leader is ${leader}` : 'there is currently no leader');
		this.name = 'NotLeaderError';
	}
}

/** The command can't be encoded and decoded again, so it can't be part of the log; nothing was appended. */
export class InvalidCommandError extends Error {
	constructor(cause: Error) {
		super(`the command cannot be part of the log: ${cause.message}`, { cause });
		this.name = 'InvalidCommandError';
	}
}

/** The command was appended, but this replica lost leadership before the commit was confirmed. */
export class OutcomeUnknownError extends Error {
	constructor() {
		super('leadership was lost before the command was known to be committed');
		this.name = 'OutcomeUnknownError';
	}
}

/** Status of a replica, for operators and metrics. */
export interface ReplicaStatus {
	readonly id: MemberId;
	readonly incarnation: string;
	readonly role: ReplicaRole;
	readonly term: number;
	readonly leader?: MemberId;
	readonly commitIndex: number;
	readonly lastIndex: number;
	readonly snapshotIndex: number;
	readonly members: readonly Member[];
}

/** The replicated log of the control instances. */
export interface IAgreement {
	/** Fires with true when this replica becomes the leader, with false when it loses leadership. */
	readonly onDidChangeLeadership: Event<boolean>;
	/** Opens the log, the peer listener and the timers. All peer handlers and replicated parts must be registered before. */
	start(): Promise<void>;
	/** Registers a part of the replicated state; must be called before `start`. */
	addPart(part: IReplicatedPart): void;
	/**
	 * Appends a command to the log and resolves with the result of applying it, once committed.
	 * @throws InvalidCommandError if the command can't be part of the log
	 * @throws NotLeaderError if nothing was appended
	 * @throws OutcomeUnknownError if the command may or may not be committed
	 */
	propose<T>(command: PartCommand): Promise<T>;
	/** Whether this replica is the leader and may answer reads now. */
	hasLease(): boolean;
	/**
	 * Time since this replica was last known to hold everything committed: for a leader, since the last contact with a
	 * quorum; for any other replica, since it last held all that its leader reported as committed.
	 * @returns milliseconds; infinite if that is not known
	 */
	contactAgeMs(): number;
	/**
	 * Commands of a part in this replica's log that are not known to be committed, oldest first. After a restart of all replicas they
	 * may have been committed and acknowledged before; until a leader has been elected nothing else tells.
	 */
	uncommittedCommands(part: string): readonly unknown[];
	/**
	 * Removes a member; resolves with false if this replica cannot do so now.
	 * @param admittedAt when the member was admitted, by its entry in the member list; 0 if the entry does not tell
	 */
	removeMember(id: MemberId, admittedAt: LogIndex): Promise<boolean>;
	status(): ReplicaStatus;
}

/** Service identifier of the replicated log. */
export const IAgreement = createServiceIdentifier<IAgreement>('agreement');
