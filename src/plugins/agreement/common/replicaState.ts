/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** State shared by the parts of a replica: identity, term, log, members and the effects of the current step. */

import type { Millis } from '../../../base/clock.js';
import {
	type AgreementTiming,
	type Effects,
	EntryKind,
	type HardState,
	type LogEntry,
	type LogIndex,
	type Member,
	type MemberId,
	MemberRole,
	ReplicaRole
} from './agreementTypes.js';
import { MemoryLog, type StoredLog } from './memoryLog.js';

/** Identity and address of a replica. */
export interface ReplicaIdentity {
	readonly id: MemberId;
	readonly incarnation: string;
	readonly address: string;
	readonly hall?: string;
}

/** Options of a replica. */
export interface ReplicaOptions {
	readonly identity: ReplicaIdentity;
	readonly timing: AgreementTiming;
	readonly hardState: HardState;
	readonly log: StoredLog;
	/** Returns a random number in [0, 1), for election timeouts. */
	readonly random: () => number;
	readonly now: Millis;
	/**
	 * When the process started, if before `now`. This replica acknowledged no leader after that, so the first election
	 * timeout is counted from then.
	 */
	readonly startedAt?: Millis;
	/**
	 * Whether members are discovered from seeds instead of listed in the settings. The leader then removes unresponsive
	 * members that have a successor and keeps the number of voters odd.
	 */
	readonly hasDiscoveredMembers?: boolean;
}

/**
 * Minimum time between two pre-votes of a replica; the maximum is twice that. Longer than a round trip between regions,
 * but short compared with an election timeout, as replicas that are started together become reachable one by one.
 */
const MIN_PRE_VOTE_INTERVAL_MS = 120;

/** Minimum time between two elections of a replica; the maximum is twice that. Covers the sync and the delivery of votes. */
const MIN_ELECTION_RETRY_MS = 250;

function noEffects(): Effects {
	return { earlyMessages: [], records: [], messages: [], committed: [] };
}

/** State shared by the parts of a replica. */
export class ReplicaState {
	readonly self: ReplicaIdentity;
	readonly timing: AgreementTiming;
	readonly log: MemoryLog;
	role = ReplicaRole.Follower;
	/** Leader of the current term, possibly this replica; undefined if not known. */
	leader?: MemberId;
	/** Time of the last request from a leader, initially the start of the process. */
	lastLeaderContactAt: Millis;
	/** When this replica last held everything that its leader reported as committed. */
	lastCurrentAt: Millis = Number.NEGATIVE_INFINITY;
	/** When the next election is due unless a leader sends a request before. */
	electionAt: Millis;
	/** Last index that this replica has synced to disk, as reported by `onPersisted`. */
	persistedIndex: LogIndex;
	/** Effects of the current step. */
	effects = noEffects();
	private readonly _random: () => number;
	private _term: number;
	private _votedFor?: MemberId;
	private _members: readonly Member[] = [];
	private _membersIndex: LogIndex = 0;
	private _commitIndex: LogIndex;
	private _deliveredIndex: LogIndex;
	/** Highest index that any leader has reported as committed. */
	private _leaderCommitIndex: LogIndex = 0;

	constructor(options: ReplicaOptions) {
		this.self = options.identity;
		this.timing = options.timing;
		this._random = options.random;
		this.log = new MemoryLog(options.log);
		this._term = options.hardState.term;
		this._votedFor = options.hardState.votedFor;
		this._commitIndex = this.log.baseIndex;
		this._deliveredIndex = this.log.baseIndex;
		this.persistedIndex = this.log.lastIndex;
		this.lastLeaderContactAt = options.startedAt ?? options.now;
		this.electionAt = options.now;
		this.refreshMembers();
		this.schedulePreVoteRetry(this.lastLeaderContactAt + this.timing.electionMinMs);
		this.commitUpTo(Math.min(options.log.commit ?? 0, this.log.lastIndex));
	}

	get term(): number {
		return this._term;
	}

	/** Candidate that this replica voted for in the current term. */
	get votedFor(): MemberId | undefined {
		return this._votedFor;
	}

	/** State that must be synced before any message that depends on it is sent. */
	get hardState(): HardState {
		return { term: this._term, votedFor: this._votedFor };
	}

	/** The latest member list, committed or not. */
	get members(): readonly Member[] {
		return this._members;
	}

	/** Index of the entry or snapshot with the latest member list. */
	get membersIndex(): LogIndex {
		return this._membersIndex;
	}

	/** Last index known to this replica to be committed. */
	get commitIndex(): LogIndex {
		return this._commitIndex;
	}

	/** Last index that was added to `effects.committed` or replaced by a snapshot. */
	get deliveredIndex(): LogIndex {
		return this._deliveredIndex;
	}

	/** Whether a member is this replica under its current incarnation. */
	isSelf(member: Member): boolean {
		return member.id === this.self.id && member.incarnation === this.self.incarnation;
	}

	/** Whether the latest known member list has this replica, under its current incarnation, as a voter. */
	get isVoter(): boolean {
		return this._members.some(member => this.isSelf(member) && member.role === MemberRole.Voter);
	}

	findMember(id: MemberId, incarnation: string): Member | undefined {
		return this._members.find(member => member.id === id && member.incarnation === incarnation);
	}

	/** Creates the fields common to all messages. */
	createHeader(to: MemberId, toIncarnation: string) {
		return {
			from: this.self.id,
			fromIncarnation: this.self.incarnation,
			to,
			toIncarnation,
			term: this._term
		};
	}

	/** Creates an entry of the current term. */
	createEntry(index: LogIndex, kind: EntryKind, command?: unknown): LogEntry {
		return { index, term: this._term, kind, command };
	}

	/** Sets the term and the vote, and adds the record that persists them. */
	setTerm(term: number, votedFor?: MemberId): void {
		if (term < this._term) {
			throw new Error(`term must not decrease from ${this._term} to ${term}`);
		}
		this._term = term;
		this._votedFor = votedFor;
		this.effects.records.push({ hardState: this.hardState });
	}

	/** Becomes a follower; `leader` is undefined if the leader of the term is not known yet. */
	becomeFollower(term: number, leader: MemberId | undefined, now: Millis): void {
		if (term > this._term) {
			this.setTerm(term);
		}
		this.role = ReplicaRole.Follower;
		this.leader = leader;
		this.resetElectionTimer(now);
	}

	/** Restarts the election timer with a new random timeout. */
	resetElectionTimer(now: Millis): void {
		this.electionAt = now + this.timing.electionMinMs * (1 + this._random());
	}

	/** Schedules the next pre-vote sooner than an election timeout, as pre-votes are not binding. */
	schedulePreVoteRetry(now: Millis): void {
		this.electionAt = now + MIN_PRE_VOTE_INTERVAL_MS * (1 + this._random());
	}

	/** Schedules a retry in case the election is not won, at a random time to avoid another split vote. */
	scheduleElectionRetry(now: Millis): void {
		this.electionAt = now + MIN_ELECTION_RETRY_MS * (1 + this._random());
	}

	/** Appends entries that this replica created itself. */
	appendLocal(entries: readonly LogEntry[]): void {
		this.log.append(entries);
		this.effects.records.push({ entries });
		this.refreshMembers();
	}

	/** Updates the member list after the log has changed. */
	refreshMembers(): void {
		const latest = this.log.latestMembers();
		this._members = latest.members;
		this._membersIndex = latest.index;
	}

	/** Advances the commit index and adds the newly committed entries to the effects. */
	commitUpTo(index: LogIndex): void {
		if (index <= this._commitIndex) {
			return;
		}
		this._commitIndex = index;
		const entries = this.log.slice(this._deliveredIndex + 1, index - this._deliveredIndex);
		this.effects.committed.push(...entries);
		this._deliveredIndex = index;
	}

	/**
	 * Records the commit index that a leader has reported. This replica is current if it holds everything up to that index
	 * and the leader has committed an entry of its own term; until then more may be committed than the leader knows.
	 */
	recordLeaderCommit(index: LogIndex, now: Millis): void {
		this._leaderCommitIndex = Math.max(this._leaderCommitIndex, index);
		const isLeaderCurrent = this.log.termAt(this._commitIndex) === this._term;
		if (isLeaderCurrent && this._commitIndex >= this._leaderCommitIndex) {
			this.lastCurrentAt = now;
		}
	}

	/** Sets all indices to that of a snapshot which has replaced the log. */
	resetToSnapshot(index: LogIndex): void {
		this._commitIndex = index;
		this._deliveredIndex = index;
		this.persistedIndex = index;
		this.refreshMembers();
	}

	/** Ends the current step and returns its effects. */
	takeEffects(): Effects {
		const effects = this.effects;
		this.effects = noEffects();
		return effects;
	}
}
