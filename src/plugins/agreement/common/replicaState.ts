/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What the parts of one replica share: identity, term, log, members, and the effects of the step under way. */

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

/** Who this replica is. */
export interface ReplicaIdentity {
	readonly id: MemberId;
	readonly incarnation: string;
	readonly address: string;
	readonly hall?: string;
}

/** What a replica starts from. */
export interface ReplicaStart {
	readonly identity: ReplicaIdentity;
	readonly timing: AgreementTiming;
	readonly hardState: HardState;
	readonly log: StoredLog;
	/** Random numbers in [0, 1), for election timeouts. */
	readonly random: () => number;
	readonly now: Millis;
	/**
	 * When the process began, if that was before now. Whatever this replica promised to a leader it promised before that,
	 * so the time counts towards the silence after which another leader may be elected.
	 */
	readonly startedAt?: Millis;
	/**
	 * Whether the members were learned rather than listed: then the leader itself removes one whose successor has joined,
	 * and keeps the number of voters odd.
	 */
	readonly isDiscovered?: boolean;
}

/**
 * Least time between two pre-votes of one replica, the greatest is twice that: longer than an answer takes from another
 * region, and short against an election, for after a common start the others come up one by one.
 */
const PRE_VOTE_REPEAT_MS = 120;

/** The same between two elections of one replica: the votes of the first must have had time to be synced and to come. */
const ELECTION_REPEAT_MS = 250;

function noEffects(): Effects {
	return { earlyMessages: [], records: [], messages: [], committed: [] };
}

/** The state that the parts of a replica share. */
export class ReplicaState {
	readonly self: ReplicaIdentity;
	readonly timing: AgreementTiming;
	readonly log: MemoryLog;
	role = ReplicaRole.Follower;
	/** The leader this replica follows, itself included. */
	leader?: MemberId;
	/** When the leader of the term was last heard. */
	heardLeaderAt: Millis;
	/** When this replica last held all that its leader knew to be committed. */
	currentAt: Millis = Number.NEGATIVE_INFINITY;
	/** When an election begins unless a leader is heard before. */
	electionAt: Millis;
	/** Last index of this replica's own log that its disk holds. */
	persisted: LogIndex;
	/** Effects of the step under way. */
	effects = noEffects();
	private readonly _random: () => number;
	private _term: number;
	private _votedFor?: MemberId;
	private _members: readonly Member[] = [];
	private _membersIndex: LogIndex = 0;
	private _commit: LogIndex;
	private _delivered: LogIndex;
	/** The highest index that a leader said to be committed. */
	private _heardCommit: LogIndex = 0;

	constructor(start: ReplicaStart) {
		this.self = start.identity;
		this.timing = start.timing;
		this._random = start.random;
		this.log = new MemoryLog(start.log);
		this._term = start.hardState.term;
		this._votedFor = start.hardState.votedFor;
		this._commit = this.log.baseIndex;
		this._delivered = this.log.baseIndex;
		this.persisted = this.log.lastIndex;
		this.heardLeaderAt = start.startedAt ?? start.now;
		this.electionAt = start.now;
		this.refreshMembers();
		this.repeatPreVote(this.heardLeaderAt + this.timing.electionMinMs);
		this.deliver(Math.min(start.log.commit ?? 0, this.log.lastIndex));
	}

	/** Current term. */
	get term(): number {
		return this._term;
	}

	/** Whom this replica voted for in the term. */
	get votedFor(): MemberId | undefined {
		return this._votedFor;
	}

	/** The state to sync before any answer that depends on it. */
	get hardState(): HardState {
		return { term: this._term, votedFor: this._votedFor };
	}

	/** The latest list of members, committed or not. */
	get members(): readonly Member[] {
		return this._members;
	}

	/** Index of the entry with that list. */
	get membersIndex(): LogIndex {
		return this._membersIndex;
	}

	/** Last committed index known here. */
	get commit(): LogIndex {
		return this._commit;
	}

	/** Last index handed out to be applied. */
	get delivered(): LogIndex {
		return this._delivered;
	}

	/** Whether a member is this replica under its present incarnation. */
	isSelf(member: Member): boolean {
		return member.id === this.self.id && member.incarnation === this.self.incarnation;
	}

	/** Whether this replica is a voter under its present incarnation, as far as it knows. */
	get isVoter(): boolean {
		return this._members.some(member => this.isSelf(member) && member.role === MemberRole.Voter);
	}

	/** A member by id and incarnation. */
	findMember(id: MemberId, incarnation: string): Member | undefined {
		return this._members.find(member => member.id === id && member.incarnation === incarnation);
	}

	/** The fields that every message begins with. */
	header(to: MemberId, toIncarnation: string) {
		return {
			from: this.self.id,
			fromIncarnation: this.self.incarnation,
			to,
			toIncarnation,
			term: this._term
		};
	}

	/** An entry of this term. */
	entry(index: LogIndex, kind: EntryKind, command?: unknown): LogEntry {
		return { index, term: this._term, kind, command };
	}

	/** Enters a term; it is written before anything that depends on it is sent. */
	setTerm(term: number, votedFor?: MemberId): void {
		if (term < this._term) {
			throw new Error(`term goes back from ${this._term} to ${term}`);
		}
		this._term = term;
		this._votedFor = votedFor;
		this.effects.records.push({ hardState: this.hardState });
	}

	/** Follows a leader, or waits for one. */
	becomeFollower(term: number, leader: MemberId | undefined, now: Millis): void {
		if (term > this._term) {
			this.setTerm(term);
		}
		this.role = ReplicaRole.Follower;
		this.leader = leader;
		this.postponeElection(now);
	}

	/** Draws the time of the next election anew. */
	postponeElection(now: Millis): void {
		this.electionAt = now + this.timing.electionMinMs * (1 + this._random());
	}

	/** Asks again soon whether an election would be won: the question binds nobody. */
	repeatPreVote(now: Millis): void {
		this.electionAt = now + PRE_VOTE_REPEAT_MS * (1 + this._random());
	}

	/** Begins anew soon after an election that nobody won, at a time of this replica's own. */
	repeatElection(now: Millis): void {
		this.electionAt = now + ELECTION_REPEAT_MS * (1 + this._random());
	}

	/** Appends entries of this replica's own. */
	appendOwn(entries: readonly LogEntry[]): void {
		this.log.append(entries);
		this.effects.records.push({ entries });
		this.refreshMembers();
	}

	/** Reads the list of members from the log again, after the log has changed. */
	refreshMembers(): void {
		const latest = this.log.latestMembers();
		this._members = latest.members;
		this._membersIndex = latest.index;
	}

	/** Takes the log to be committed up to an index and hands the entries out. */
	deliver(commit: LogIndex): void {
		if (commit <= this._commit) {
			return;
		}
		this._commit = commit;
		const entries = this.log.slice(this._delivered + 1, commit - this._delivered);
		this.effects.committed.push(...entries);
		this._delivered = commit;
	}

	/**
	 * A leader says how far the log is committed; this replica is current where it holds all of that, and the leader has committed
	 * something in its own term: until then more may be committed than the leader knows. 8 of 45 control instances that had just started
	 * passed for current without what was committed.
	 */
	noteHeardCommit(commit: LogIndex, now: Millis): void {
		this._heardCommit = Math.max(this._heardCommit, commit);
		const isLeaderCurrent = this.log.termAt(this._commit) === this._term;
		if (isLeaderCurrent && this._commit >= this._heardCommit) {
			this.currentAt = now;
		}
	}

	/** A snapshot has replaced the log: everything up to it is committed, applied and persisted. */
	jumpTo(index: LogIndex): void {
		this._commit = index;
		this._delivered = index;
		this.persisted = index;
		this.refreshMembers();
	}

	/** The effects of the step, which ends here. */
	takeEffects(): Effects {
		const effects = this.effects;
		this.effects = noEffects();
		return effects;
	}
}
