/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The replicated log as a pure state machine: a message and a time in, effects out; no input or output of its own.
 *
 * Source of the protocol: D. Ongaro, "Consensus: Bridging Theory and Practice" (2014), with pre-vote, leader lease and
 * change of one member at a time. What is added here is the incarnation: a replica whose disk was lost comes back under
 * another one, and a vote or an acknowledgement under an incarnation that is not in the list does not count.
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
	MemberRole,
	ReplicaRole,
	type Snapshot
} from './agreementTypes.js';
import { Election } from './election.js';
import { Leadership } from './leadership.js';
import { LogFollower } from './logFollower.js';
import { MemberChanges } from './memberChanges.js';
import { type ReplicaIdentity, type ReplicaStart, ReplicaState } from './replicaState.js';

export type { ReplicaIdentity, ReplicaStart } from './replicaState.js';

/** One replica of the log. */
export class AgreementCore {
	private readonly _state: ReplicaState;
	private readonly _election: Election;
	private readonly _follower: LogFollower;
	private readonly _leadership: Leadership;
	private readonly _memberChanges: MemberChanges;

	constructor(start: ReplicaStart) {
		this._state = new ReplicaState(start);
		this._follower = new LogFollower(this._state);
		this._leadership = new Leadership(this._state);
		this._memberChanges = new MemberChanges(this._state, this._leadership, start.isDiscovered ?? false);
		this._election = new Election(this._state, {
			isLeaderAlive: now => this._isLeaderAlive(now),
			onElected: now => this._leadership.begin(now)
		});
	}

	/** Role at the moment. */
	get role(): ReplicaRole {
		return this._state.role;
	}

	/** Current term. */
	get term(): number {
		return this._state.term;
	}

	/** The leader this replica follows, itself included. */
	get leader(): MemberId | undefined {
		return this._state.leader;
	}

	/** The latest list of members. */
	get members(): readonly Member[] {
		return this._state.members;
	}

	/** Last committed index known here. */
	get commitIndex(): LogIndex {
		return this._state.commit;
	}

	/** Index of the last entry held. */
	get lastIndex(): LogIndex {
		return this._state.log.lastIndex;
	}

	/** Index that the last snapshot covers. */
	get snapshotIndex(): LogIndex {
		return this._state.log.baseIndex;
	}

	/** Whether this replica never held anything. */
	get isBlank(): boolean {
		return this._state.log.isBlank;
	}

	/** Whether this replica is a voter under its present incarnation, as far as it knows. */
	get isVoter(): boolean {
		return this._state.isVoter;
	}

	/**
	 * Whether a leader may answer a read now: a quorum heard from it within the lease, in a term it has committed in.
	 * @param trustedSince what a quorum heard before does not count: the clock may have stood still since
	 */
	hasLease(now: Millis, trustedSince: Millis = Number.NEGATIVE_INFINITY): boolean {
		if (this._state.role !== ReplicaRole.Leader || !this._leadership.hasCommitted) {
			return false;
		}
		const contactAt = this._leadership.quorumContact(now);
		return contactAt >= trustedSince && now - contactAt < this._state.timing.leaseMs;
	}

	/**
	 * Time since this replica was last known to be current: by its quorum as a leader that has committed something in its term, otherwise
	 * by such a leader's word on what is committed. Heartbeats alone say nothing: a replica that lacks entries goes on hearing them.
	 */
	contactAge(now: Millis): Millis {
		if (this._state.role === ReplicaRole.Leader) {
			return this._leadership.hasCommitted ? now - this._leadership.quorumContact(now) : Number.POSITIVE_INFINITY;
		}
		return this._state.leader === undefined ? Number.POSITIVE_INFINITY : now - this._state.currentAt;
	}

	/** Starts a system of one voter, this replica; the others join as learners. Only on a blank log. */
	bootstrap(now: Millis): Effects {
		const state = this._state;
		if (!state.log.isBlank) {
			throw new Error('only a blank replica can start a new system');
		}
		const founder: Member = { ...state.self, role: MemberRole.Voter };
		state.setTerm(1, state.self.id);
		state.appendOwn([{ index: 1, term: 1, kind: EntryKind.Members, members: [founder] }]);
		state.electionAt = now;
		return state.takeEffects();
	}

	/** Lets time pass: heartbeats, elections, loss of the quorum. */
	tick(now: Millis): Effects {
		const state = this._state;
		if (state.role === ReplicaRole.Leader) {
			this._tickLeader(now);
		} else if (now >= state.electionAt) {
			this._election.startPreVote(now);
		}
		return state.takeEffects();
	}

	/** Handles one message. */
	receive(message: AgreementMessage, now: Millis): Effects {
		const state = this._state;
		if (message.toIncarnation !== '' && message.toIncarnation !== state.self.incarnation) {
			return state.takeEffects();
		}
		if (message.term > state.term && this._raisesTerm(message, now)) {
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
	 * Appends commands on the leader.
	 * @returns the index of the first one, or undefined when this replica is not the leader
	 */
	propose(commands: readonly unknown[], now: Millis): { first: LogIndex; effects: Effects } | undefined {
		const state = this._state;
		if (state.role !== ReplicaRole.Leader) {
			return undefined;
		}
		const first = state.log.lastIndex + 1;
		const entries = commands.map((command, i) => state.entry(first + i, EntryKind.Command, command));
		state.appendOwn(entries);
		this._leadership.broadcast(now);
		return { first, effects: state.takeEffects() };
	}

	/** A control instance asks to take part; a leader admits it as a learner when no other change is under way. */
	join(newcomer: ReplicaIdentity, now: Millis): Effects {
		this._memberChanges.admit(newcomer, now);
		return this._state.takeEffects();
	}

	/** Removes a member by an operator's word; returns false when this replica cannot do so now. */
	removeMember(id: MemberId, now: Millis): { done: boolean; effects: Effects } {
		const done = this._memberChanges.remove(id, now);
		return { done, effects: this._state.takeEffects() };
	}

	/** The disk holds everything up to an index of the present log. */
	onPersisted(index: LogIndex, term: number, now: Millis): Effects {
		const state = this._state;
		if (state.log.termAt(index) === term) {
			state.persisted = Math.max(state.persisted, index);
		}
		if (state.role === ReplicaRole.Leader) {
			this._leadership.advanceCommit(now);
		}
		return state.takeEffects();
	}

	/** Replaces the log up to an applied index by a snapshot of the state. */
	compact(index: LogIndex, data: Uint8Array): Snapshot {
		const { log, delivered } = this._state;
		if (index > delivered || index <= log.baseIndex) {
			throw new Error(`cannot compact to ${index}: applied ${delivered}, base ${log.baseIndex}`);
		}
		const snapshot: Snapshot = { index, term: log.termAt(index)!, members: log.membersAt(index), data };
		log.compact(snapshot);
		return snapshot;
	}

	/** The entries after the snapshot, for writing a compacted file. */
	entriesAfterSnapshot(): LogEntry[] {
		const { log } = this._state;
		return log.slice(log.baseIndex + 1, log.lastIndex);
	}

	/** The state to sync with a compacted file. */
	get hardState(): HardState {
		return this._state.hardState;
	}

	/** Whether a later term in a message is taken over: pre-votes, and votes under a leader that is well, raise none. */
	private _raisesTerm(message: AgreementMessage, now: Millis): boolean {
		if (message.type === 'vote') {
			return !message.pre && !this._isLeaderAlive(now);
		}
		return !(message.type === 'voteReply' && message.pre && message.granted);
	}

	private _isLeaderAlive(now: Millis): boolean {
		const { role, heardLeaderAt, timing } = this._state;
		const silence = role === ReplicaRole.Leader ? this._leadership.quorumSilence(now) : now - heardLeaderAt;
		return silence < timing.electionMinMs;
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
			this._memberChanges.promoteWholeLearner(now);
			this._leadership.continueWith(member, now);
		}
	}
}
