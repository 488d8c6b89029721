/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What the other features see of the replicated log. */

import type { Event } from '../../../base/event.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { Member, MemberId, ReplicaRole } from './agreementTypes.js';
import type { IReplicatedPart, PartCommand } from './replicatedState.js';

/** This replica does not lead; nothing was appended. */
export class NotLeaderError extends Error {
	constructor(readonly leader: MemberId | undefined) {
		super(leader ? `the leader is ${leader}` : 'there is no leader now');
		this.name = 'NotLeaderError';
	}
}

/** The command was appended but leadership was lost before it was known to be committed. */
export class OutcomeUnknownError extends Error {
	constructor() {
		super('leadership was lost before the command was known to be committed');
		this.name = 'OutcomeUnknownError';
	}
}

/** State of a replica, for operators and metrics. */
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
	/** Fires when this replica gains or loses leadership. */
	readonly onDidChangeLeadership: Event<boolean>;
	/** Opens the files, the peer listener and the timers; every handler and part must be there before. */
	start(): Promise<void>;
	/** Adds a part of the replicated state; before the log starts. */
	addPart(part: IReplicatedPart): void;
	/**
	 * Proposes a command and resolves with the result of applying it, once committed.
	 * @throws NotLeaderError nothing was appended
	 * @throws OutcomeUnknownError it may or may not be committed
	 */
	propose<T>(command: PartCommand): Promise<T>;
	/** Whether this replica leads and may answer reads at this moment. */
	hasLease(): boolean;
	/**
	 * How long ago this replica was last known to be current: a leader by its quorum, any other by its leader.
	 * @returns milliseconds; infinite where there is no leader
	 */
	contactAgeMs(): number;
	/** Removes a member; resolves with whether this replica could. */
	removeMember(id: MemberId): Promise<boolean>;
	/** State of this replica. */
	status(): ReplicaStatus;
}

/** Identifier of the replicated log. */
export const IAgreement = createServiceIdentifier<IAgreement>('agreement');
