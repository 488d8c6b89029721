/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The replicated log as a deterministic state machine: it takes messages and times, returns effects and does no I/O.
 *
 * Implements Raft (D. Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-votes, leader leases and
 * single-member changes. In addition, replicas have incarnations: a replica that lost its disk rejoins under a new one,
 * and votes and acknowledgements under an incarnation that is not in the member list do not count.
 */

import type { Millis } from '../../../base/clock.js';
import {
	type AgreementMessage,
	type AppendReply,
	type Effects,
	EntryKind,
	type HardState,
	type LogEntry,
	type LogIndex,
	type Member,
	type MemberId,
	type MemberListVersion,
	MemberRole,
	ReplicaRole,
	type Snapshot
} from './agreementTypes.js';
import { Election } from './election.js';
import { Leadership } from './leadership.js';
import { LogFollower } from './logFollower.js';
import { MemberChanges } from './memberChanges.js';
import { type ReplicaIdentity, type ReplicaOptions, ReplicaState } from './replicaState.js';

export type { ReplicaIdentity, ReplicaOptions } from './replicaState.js';

/** Protocol logic of a replica. */
export class AgreementCore {
	private readonly _state: ReplicaState;
	private readonly _election: Election;
	private readonly _follower: LogFollower;
	private readonly _leadership: Leadership;
	private readonly _memberChanges: MemberChanges;

	constructor(options: ReplicaOptions) {
		this._state = new ReplicaState(options);
		this._follower = new LogFollower(this._state);
		this._leadership = new Leadership(this._state);
		this._memberChanges = new MemberChanges(this._state, this._leadership, options.hasDiscoveredMembers ?? false);
		this._election = new Election(this._state, {
			isLeaderAlive: now => this._isLeaderAlive(now),
			onElected: now => this._leadership.becomeLeader(now)
		});
	}

	get role(): ReplicaRole {
		return this._state.role;
	}

	get term(): number {
		return this._state.term;
	}

	/** Leader of the current term, possibly this replica; undefined if not known. */
	get leader(): MemberId | undefined {
		return this._state.leader;
	}

	/** The latest member list, committed or not. */
	get members(): readonly Member[] {
		return this._state.members;
	}

	/** Identifies the member list of this replica, committed or not. */
	get memberListVersion(): MemberListVersion {
		return { term: this._state.term, index: this._state.membersIndex };
	}

	/** Last index known to this replica to be committed. */
	get commitIndex(): LogIndex {
		return this._state.commitIndex;
	}

	get lastIndex(): LogIndex {
		return this._state.log.lastIndex;
	}

	/** Entries of the log that are not known to be committed. */
	uncommittedEntries(): readonly LogEntry[] {
		const { commitIndex, log } = this._state;
		return log.slice(commitIndex + 1, log.lastIndex - commitIndex);
	}

	/** Last index that the latest snapshot covers; 0 without a snapshot. */
	get snapshotIndex(): LogIndex {
		return this._state.log.baseIndex;
	}

	/** Estimated size in bytes of the entries that follow the snapshot. */
	get entryBytes(): number {
		return this._state.log.entryBytes;
	}

	/** Whether this replica's log is empty and has no snapshot. */
	get isBlank(): boolean {
		return this._state.log.isBlank;
	}

	/** Whether the latest known member list has this replica, under its current incarnation, as a voter. */
	get isVoter(): boolean {
		return this._state.isVoter;
	}

	/**
	 * Whether this replica may answer reads: it is the leader, has committed an entry of its term, and had contact with a
	 * quorum within the lease.
	 * @param contactValidFrom contact before this time is ignored, as the machine may have been suspended since
	 */
	hasLease(now: Millis, contactValidFrom: Millis = Number.NEGATIVE_INFINITY): boolean {
		if (this._state.role !== ReplicaRole.Leader || !this._leadership.hasCommittedInTerm) {
			return false;
		}
		const contactAt = this._leadership.lastQuorumContactAt(now);
		return contactAt >= contactValidFrom && now - contactAt < this._state.timing.leaseMs;
	}

	/**
	 * Time since this replica was last known to hold everything committed. For a leader that has committed an entry of its
	 * term, the time since the last quorum contact. For any other replica, the time since it last held all that such a
	 * leader reported as committed; heartbeats alone do not count, as a replica that lacks entries receives them too.
	 * @returns infinite if that is not known
	 */
	contactAge(now: Millis): Millis {
		if (this._state.role === ReplicaRole.Leader) {
			return this._leadership.hasCommittedInTerm
				? now - this._leadership.lastQuorumContactAt(now)
				: Number.POSITIVE_INFINITY;
		}
		return this._state.leader === undefined ? Number.POSITIVE_INFINITY : now - this._state.lastCurrentAt;
	}

	/** Initializes an empty log with this replica as the only voter; the other replicas join as learners. */
	bootstrap(now: Millis): Effects {
		const state = this._state;
		if (!state.log.isBlank) {
			throw new Error('cannot bootstrap a replica whose log is not empty');
		}
		const initialMember: Member = { ...state.self, role: MemberRole.Voter };
		state.setTerm(1, state.self.id);
		state.appendLocal([{ index: 1, term: 1, kind: EntryKind.Members, members: [initialMember] }]);
		state.electionAt = now;
		return state.takeEffects();
	}

	/** Sends due heartbeats, starts due elections and gives up leadership when the quorum is lost. */
	tick(now: Millis): Effects {
		const state = this._state;
		if (state.role === ReplicaRole.Leader) {
			this._tickLeader(now);
		} else if (now >= state.electionAt) {
			this._election.startPreVote(now);
		}
		return state.takeEffects();
	}

	/** Handles a message; one for another incarnation of this replica is ignored. */
	receive(message: AgreementMessage, now: Millis): Effects {
		const state = this._state;
		if (message.toIncarnation !== '' && message.toIncarnation !== state.self.incarnation) {
			return state.takeEffects();
		}
		if (message.term > state.term && this._shouldAdoptTerm(message, now)) {
			state.becomeFollower(message.term, undefined, now);
		}
		switch (message.type) {
			case 'vote':
				this._election.onRequest(message, now);
				break;
			case 'voteReply':
				this._election.onReply(message, now);
				break;
			case 'append':
				this._follower.onAppend(message, now);
				break;
			case 'snapshot':
				this._follower.onSnapshot(message, now);
				break;
			case 'appendReply':
				this._onAppendReply(message, now);
				break;
		}
		return state.takeEffects();
	}

	/**
	 * Appends commands to the log.
	 * @returns the index of the first command, or undefined if this replica is not the leader
	 */
	propose(commands: readonly unknown[], now: Millis): { first: LogIndex; effects: Effects } | undefined {
		const state = this._state;
		if (state.role !== ReplicaRole.Leader) {
			return undefined;
		}
		const first = state.log.lastIndex + 1;
		const entries = commands.map((command, i) => state.createEntry(first + i, EntryKind.Command, command));
		state.appendLocal(entries);
		this._leadership.broadcast(now);
		return { first, effects: state.takeEffects() };
	}

	/**
	 * Handles a request to join; a leader admits the replica as a learner unless another member change is in progress.
	 * @param memberList member list that the joining replica received last from this one; after any change the request is outdated
	 */
	join(identity: ReplicaIdentity, memberList: MemberListVersion | undefined, now: Millis): Effects {
		const { term, index } = this.memberListVersion;
		if (memberList?.term === term && memberList.index === index) {
			this._memberChanges.admit(identity, now);
		}
		return this._state.takeEffects();
	}

	/**
	 * Removes a member on an operator's request; `done` is false if this replica cannot do so now.
	 * @param admittedAt when the member to remove was admitted; one that was admitted again since is not removed
	 */
	removeMember(id: MemberId, admittedAt: LogIndex, now: Millis): { done: boolean; effects: Effects } {
		const member = this.members.find(other => other.id === id);
		const done = (member?.admittedAt ?? 0) === admittedAt && this._memberChanges.remove(id, now);
		return { done, effects: this._state.takeEffects() };
	}

	/** Gives up leadership and forgets the leader: this replica cannot write, and handles no messages until it can. */
	suspend(now: Millis): void {
		this._state.becomeFollower(this._state.term, undefined, now);
	}

	/**
	 * Reports that the log is synced up to an index.
	 * @param term term of this replica at the write; ignored unless the entry at that index is of this term
	 */
	onPersisted(index: LogIndex, term: number, now: Millis): Effects {
		const state = this._state;
		if (state.log.termAt(index) === term) {
			state.persistedIndex = Math.max(state.persistedIndex, index);
		}
		if (state.role === ReplicaRole.Leader) {
			this._leadership.advanceCommit(now);
		}
		return state.takeEffects();
	}

	/** Replaces the entries up to an applied index with a snapshot. */
	compact(index: LogIndex, data: Uint8Array): Snapshot {
		const { log, deliveredIndex } = this._state;
		if (index > deliveredIndex || index <= log.baseIndex) {
			throw new Error(`cannot compact to ${index}: applied ${deliveredIndex}, base ${log.baseIndex}`);
		}
		const snapshot: Snapshot = { index, term: log.termAt(index)!, members: log.membersAt(index), data };
		log.compact(snapshot);
		return snapshot;
	}

	/** Entries that follow the snapshot, to be written to the compacted file. */
	entriesAfterSnapshot(): LogEntry[] {
		const { log } = this._state;
		return log.slice(log.baseIndex + 1, log.lastIndex);
	}

	/** Hard state to be written to the compacted file. */
	get hardState(): HardState {
		return this._state.hardState;
	}

	/**
	 * Whether the later term of a message is adopted. Pre-vote requests, granted pre-votes and vote requests during
	 * contact with a live leader are excluded, so that a reconnected replica does not depose the leader.
	 */
	private _shouldAdoptTerm(message: AgreementMessage, now: Millis): boolean {
		if (message.type === 'vote') {
			return !message.pre && !this._isLeaderAlive(now);
		}
		return !(message.type === 'voteReply' && message.pre && message.granted);
	}

	private _isLeaderAlive(now: Millis): boolean {
		const { role, lastLeaderContactAt, timing } = this._state;
		const sinceContactMs =
			role === ReplicaRole.Leader ? this._leadership.sinceQuorumContactMs(now) : now - lastLeaderContactAt;
		return sinceContactMs < timing.electionMinMs;
	}

	private _tickLeader(now: Millis): void {
		if (!this._leadership.tick(now)) {
			this._state.becomeFollower(this._state.term, undefined, now);
			return;
		}
		this._memberChanges.tick(now);
	}

	private _onAppendReply(reply: AppendReply, now: Millis): void {
		const state = this._state;
		const member = state.findMember(reply.from, reply.fromIncarnation);
		if (state.role !== ReplicaRole.Leader || reply.term !== state.term || !member) {
			return;
		}
		this._leadership.onReply(reply, member, now);
		if (reply.accepted) {
			this._memberChanges.promoteCaughtUpLearner(now);
			this._leadership.sendRemainingEntries(member, now);
		}
	}
}
