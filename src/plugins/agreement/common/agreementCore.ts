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
	type AgreementTiming,
	type AppendReply,
	type AppendRequest,
	type Effects,
	EntryKind,
	type HardState,
	type LogEntry,
	type LogIndex,
	type Member,
	type MemberId,
	MemberRole,
	ReplicaRole,
	type Snapshot,
	type SnapshotRequest,
	type VoteReply,
	type VoteRequest
} from './agreementTypes.js';
import {
	admitLearner,
	findReplaced,
	promote,
	quorumSize,
	quorumValue,
	remove,
	targetVoterCount,
	votersOf
} from './memberList.js';
import { MemberProgress, type Progress } from './memberProgress.js';
import { MemoryLog, type StoredLog } from './memoryLog.js';

const MAX_ENTRIES_PER_MESSAGE = 512;
/** A snapshot is sent again only after this long without an answer. */
const SNAPSHOT_RETRY_MS = 3000;

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
	 * Whether the members were learned rather than listed: then the leader itself removes one whose successor has joined,
	 * and keeps the number of voters odd.
	 */
	readonly isDiscovered?: boolean;
}

/** One replica of the log. */
export class AgreementCore {
	private readonly _self: ReplicaIdentity;
	private readonly _timing: AgreementTiming;
	private readonly _random: () => number;
	private readonly _isDiscovered: boolean;
	private readonly _log: MemoryLog;
	private _term: number;
	private _votedFor?: MemberId;
	private _role = ReplicaRole.Follower;
	private _leader?: MemberId;
	private _members: readonly Member[];
	private _membersIndex: LogIndex;
	private _commit: LogIndex;
	private _delivered: LogIndex;
	private _persisted: LogIndex;
	private _heardLeaderAt: Millis;
	private _electionAt: Millis;
	private _heartbeatAt: Millis = 0;
	private _termStartIndex: LogIndex = 0;
	private _leaderSince: Millis = 0;
	private _votes = new Set<MemberId>();
	private readonly _progress = new MemberProgress();
	private _effects = AgreementCore._noEffects();

	constructor(start: ReplicaStart) {
		this._self = start.identity;
		this._timing = start.timing;
		this._random = start.random;
		this._isDiscovered = start.isDiscovered ?? false;
		this._log = new MemoryLog(start.log);
		this._term = start.hardState.term;
		this._votedFor = start.hardState.votedFor;
		this._commit = this._log.baseIndex;
		this._delivered = this._log.baseIndex;
		this._persisted = this._log.lastIndex;
		const latest = this._log.latestMembers();
		this._members = latest.members;
		this._membersIndex = latest.index;
		this._heardLeaderAt = start.now;
		this._electionAt = start.now + this._electionTimeout();
	}

	/** Role at the moment. */
	get role(): ReplicaRole {
		return this._role;
	}

	/** Current term. */
	get term(): number {
		return this._term;
	}

	/** The leader this replica follows, itself included. */
	get leader(): MemberId | undefined {
		return this._leader;
	}

	/** The latest list of members. */
	get members(): readonly Member[] {
		return this._members;
	}

	/** Last committed index known here. */
	get commitIndex(): LogIndex {
		return this._commit;
	}

	/** Index of the last entry held. */
	get lastIndex(): LogIndex {
		return this._log.lastIndex;
	}

	/** Index that the last snapshot covers. */
	get snapshotIndex(): LogIndex {
		return this._log.baseIndex;
	}

	/** Whether this replica never held anything. */
	get isBlank(): boolean {
		return this._log.isBlank;
	}

	/** Whether this replica is a voter under its present incarnation, as far as it knows. */
	get isVoter(): boolean {
		return this._members.some(member => this._isSelf(member) && member.role === MemberRole.Voter);
	}

	/** Whether a leader may answer a read now: a quorum heard from it within the lease, in a term it has committed in. */
	hasLease(now: Millis): boolean {
		if (this._role !== ReplicaRole.Leader || this._commit < this._termStartIndex) {
			return false;
		}
		return now - this._quorumContact(now) < this._timing.leaseMs;
	}

	/** Time since this replica was last known to be current: by its quorum as a leader, by its leader otherwise. */
	contactAge(now: Millis): Millis {
		if (this._role === ReplicaRole.Leader) {
			return now - this._quorumContact(now);
		}
		return this._leader === undefined ? Number.POSITIVE_INFINITY : now - this._heardLeaderAt;
	}

	/** Starts a system of one voter, this replica; the others join as learners. Only on a blank log. */
	bootstrap(now: Millis): Effects {
		if (!this._log.isBlank) {
			throw new Error('only a blank replica can start a new system');
		}
		const founder: Member = { ...this._self, role: MemberRole.Voter };
		this._setTerm(1, this._self.id);
		this._appendOwn([{ index: 1, term: 1, kind: EntryKind.Members, members: [founder] }]);
		this._electionAt = now;
		return this._take();
	}

	/** Lets time pass: heartbeats, elections, loss of the quorum. */
	tick(now: Millis): Effects {
		if (this._role === ReplicaRole.Leader) {
			this._tickLeader(now);
		} else if (now >= this._electionAt) {
			this._startPreVote(now);
		}
		return this._take();
	}

	/** Handles one message. */
	receive(message: AgreementMessage, now: Millis): Effects {
		if (message.toIncarnation !== '' && message.toIncarnation !== this._self.incarnation) {
			return this._take();
		}
		const isPreVote = message.type === 'vote' && message.pre;
		const isPreVoteGrant = message.type === 'voteReply' && message.pre && message.granted;
		if (message.term > this._term && !isPreVote && !isPreVoteGrant && !this._isDisturbance(message, now)) {
			this._becomeFollower(message.term, undefined, now);
		}
		switch (message.type) {
			case 'vote':
				this._onVoteRequest(message, now);
				break;
			case 'voteReply':
				this._onVoteReply(message, now);
				break;
			case 'append':
				this._onAppend(message, now);
				break;
			case 'snapshot':
				this._onSnapshot(message, now);
				break;
			case 'appendReply':
				this._onAppendReply(message, now);
				break;
		}
		return this._take();
	}

	/**
	 * Appends commands on the leader.
	 * @returns the index of the first one, or undefined when this replica is not the leader
	 */
	propose(commands: readonly unknown[], now: Millis): { first: LogIndex; effects: Effects } | undefined {
		if (this._role !== ReplicaRole.Leader) {
			return undefined;
		}
		const first = this._log.lastIndex + 1;
		const entries = commands.map((command, i) => this._entry(first + i, EntryKind.Command, command));
		this._appendOwn(entries);
		this._broadcastAppend(now);
		return { first, effects: this._take() };
	}

	/** A control instance asks to take part; a leader admits it as a learner when no other change is under way. */
	join(newcomer: ReplicaIdentity, now: Millis): Effects {
		if (this._canChangeMembers()) {
			const changed = admitLearner(this._members, { ...newcomer, admittedAt: this._log.lastIndex + 1 });
			if (changed) {
				this._progress.forget(newcomer.id);
				this._changeMembers(changed, now);
			}
		}
		return this._take();
	}

	/** Removes a member by an operator's word; returns false when this replica cannot do so now. */
	removeMember(id: MemberId, now: Millis): { done: boolean; effects: Effects } {
		const possible = this._canChangeMembers() && id !== this._self.id && this._members.some(m => m.id === id);
		if (possible) {
			this._changeMembers(remove(this._members, id), now);
			this._progress.forget(id);
		}
		return { done: possible, effects: this._take() };
	}

	/** The disk holds everything up to an index of the present log. */
	onPersisted(index: LogIndex, term: number, now: Millis): Effects {
		if (this._log.termAt(index) === term) {
			this._persisted = Math.max(this._persisted, index);
		}
		this._advanceCommit(now);
		return this._take();
	}

	/** Replaces the log up to an applied index by a snapshot of the state. */
	compact(index: LogIndex, data: Uint8Array): Snapshot {
		if (index > this._delivered || index <= this._log.baseIndex) {
			throw new Error(`cannot compact to ${index}: applied ${this._delivered}, base ${this._log.baseIndex}`);
		}
		const snapshot: Snapshot = {
			index,
			term: this._log.termAt(index)!,
			members: this._log.membersAt(index),
			data
		};
		this._log.compact(snapshot);
		return snapshot;
	}

	/** The entries after the snapshot, for writing a compacted file. */
	entriesAfterSnapshot(): LogEntry[] {
		return this._log.slice(this._log.baseIndex + 1, this._log.lastIndex);
	}

	/** The state to sync with a compacted file. */
	get hardState(): HardState {
		return { term: this._term, votedFor: this._votedFor };
	}

	private static _noEffects(): Effects {
		return { earlyMessages: [], records: [], messages: [], committed: [] };
	}

	private _take(): Effects {
		const effects = this._effects;
		this._effects = AgreementCore._noEffects();
		return effects;
	}

	private _isSelf(member: Member): boolean {
		return member.id === this._self.id && member.incarnation === this._self.incarnation;
	}

	private _electionTimeout(): Millis {
		return this._timing.electionMinMs * (1 + this._random());
	}

	private _entry(index: LogIndex, kind: EntryKind, command?: unknown): LogEntry {
		return { index, term: this._term, kind, command };
	}

	private _header(to: MemberId, toIncarnation: string) {
		return {
			from: this._self.id,
			fromIncarnation: this._self.incarnation,
			to,
			toIncarnation,
			term: this._term
		};
	}

	private _setTerm(term: number, votedFor?: MemberId): void {
		if (term < this._term) {
			throw new Error(`term goes back from ${this._term} to ${term}`);
		}
		this._term = term;
		this._votedFor = votedFor;
		this._effects.records.push({ hardState: this.hardState });
	}

	/** A vote request under a leader that was heard from lately does not raise the term (leader stickiness). */
	private _isDisturbance(message: AgreementMessage, now: Millis): boolean {
		return message.type === 'vote' && this._isLeaderAlive(now);
	}

	private _isLeaderAlive(now: Millis): boolean {
		if (this._role === ReplicaRole.Leader) {
			return now - Math.max(this._quorumContact(now), this._leaderSince) < this._timing.electionMinMs;
		}
		return now - this._heardLeaderAt < this._timing.electionMinMs;
	}

	private _becomeFollower(term: number, leader: MemberId | undefined, now: Millis): void {
		if (term > this._term) {
			this._setTerm(term);
		}
		this._role = ReplicaRole.Follower;
		this._leader = leader;
		this._progress.clear();
		this._electionAt = now + this._electionTimeout();
	}

	private _startPreVote(now: Millis): void {
		this._electionAt = now + this._electionTimeout();
		this._leader = undefined;
		if (!this.isVoter) {
			return;
		}
		this._role = ReplicaRole.PreCandidate;
		this._requestVotes(true, now);
	}

	private _startElection(now: Millis): void {
		this._role = ReplicaRole.Candidate;
		this._setTerm(this._term + 1, this._self.id);
		this._electionAt = now + this._electionTimeout();
		this._requestVotes(false, now);
	}

	private _requestVotes(pre: boolean, now: Millis): void {
		this._votes = new Set([this._self.id]);
		for (const member of votersOf(this._members)) {
			if (!this._isSelf(member)) {
				this._effects.messages.push({
					...this._header(member.id, member.incarnation),
					type: 'vote',
					pre,
					term: pre ? this._term + 1 : this._term,
					lastIndex: this._log.lastIndex,
					lastTerm: this._log.lastTerm
				});
			}
		}
		this._countVotes(pre, now);
	}

	private _onVoteRequest(request: VoteRequest, now: Millis): void {
		const isUpToDate =
			request.lastTerm > this._log.lastTerm ||
			(request.lastTerm === this._log.lastTerm && request.lastIndex >= this._log.lastIndex);
		const isFree = request.pre
			? request.term > this._term
			: request.term === this._term && (this._votedFor === undefined || this._votedFor === request.from);
		const granted = isUpToDate && isFree && !this._log.isBlank && !this._isLeaderAlive(now);
		if (granted && !request.pre) {
			this._setTerm(this._term, request.from);
			this._electionAt = now + this._electionTimeout();
		}
		this._effects.messages.push({
			...this._header(request.from, request.fromIncarnation),
			type: 'voteReply',
			pre: request.pre,
			granted,
			term: granted ? request.term : this._term
		});
	}

	private _onVoteReply(reply: VoteReply, now: Millis): void {
		const expectedRole = reply.pre ? ReplicaRole.PreCandidate : ReplicaRole.Candidate;
		const expectedTerm = reply.pre ? this._term + 1 : this._term;
		const voter = this._members.find(m => m.id === reply.from && m.incarnation === reply.fromIncarnation);
		if (this._role !== expectedRole || !reply.granted || reply.term !== expectedTerm || !voter) {
			return;
		}
		this._votes.add(reply.from);
		this._countVotes(reply.pre, now);
	}

	private _countVotes(pre: boolean, now: Millis): void {
		const count = votersOf(this._members).filter(member => this._votes.has(member.id)).length;
		if (count < quorumSize(this._members)) {
			return;
		}
		if (pre) {
			this._startElection(now);
		} else {
			this._becomeLeader(now);
		}
	}

	private _becomeLeader(now: Millis): void {
		this._role = ReplicaRole.Leader;
		this._leader = this._self.id;
		this._leaderSince = now;
		this._progress.clear();
		this._termStartIndex = this._log.lastIndex + 1;
		this._appendOwn([this._entry(this._termStartIndex, EntryKind.NoOperation)]);
		this._broadcastAppend(now);
	}

	private _progressOf(member: Member): Progress {
		return this._progress.of(member, this._log.lastIndex + 1);
	}

	/** The latest time by which a quorum had heard from this leader. */
	private _quorumContact(now: Millis): Millis {
		return quorumValue(this._members, member => (this._isSelf(member) ? now : this._progress.heardAt(member)));
	}

	private _tickLeader(now: Millis): void {
		const quorumContact = Math.max(this._quorumContact(now), this._leaderSince);
		if (now - quorumContact > this._timing.electionMinMs * 2) {
			this._becomeFollower(this._term, undefined, now);
			return;
		}
		if (now >= this._heartbeatAt) {
			this._broadcastAppend(now);
		}
		this._promoteWholeLearner(now);
		this._removeReplaced(now);
	}

	private _broadcastAppend(now: Millis): void {
		this._heartbeatAt = now + this._timing.heartbeatMs;
		for (const member of this._members) {
			if (!this._isSelf(member)) {
				this._sendAppend(member, now);
			}
		}
	}

	private _sendAppend(member: Member, now: Millis): void {
		const progress = this._progressOf(member);
		if (progress.next <= this._log.baseIndex) {
			this._sendSnapshot(member, progress, now);
			return;
		}
		const entries = this._log.slice(progress.next, MAX_ENTRIES_PER_MESSAGE);
		const prevIndex = progress.next - 1;
		this._effects.earlyMessages.push({
			...this._header(member.id, member.incarnation),
			type: 'append',
			prevIndex,
			prevTerm: this._log.termAt(prevIndex)!,
			entries,
			commit: this._commit,
			sentAt: now
		});
		progress.next += entries.length;
	}

	private _sendSnapshot(member: Member, progress: Progress, now: Millis): void {
		if (progress.snapshotSentAt !== undefined && now - progress.snapshotSentAt < SNAPSHOT_RETRY_MS) {
			return;
		}
		progress.snapshotSentAt = now;
		this._effects.earlyMessages.push({
			...this._header(member.id, member.incarnation),
			type: 'snapshot',
			snapshot: this._log.snapshot!,
			sentAt: now
		});
	}

	private _acceptLeader(message: AppendRequest | SnapshotRequest, now: Millis): boolean {
		if (message.term < this._term) {
			return false;
		}
		if (this._role === ReplicaRole.Leader) {
			throw new Error(`two leaders in term ${this._term}: ${this._self.id} and ${message.from}`);
		}
		this._role = ReplicaRole.Follower;
		this._leader = message.from;
		this._heardLeaderAt = now;
		this._electionAt = now + this._electionTimeout();
		return true;
	}

	private _replyAppend(request: AppendRequest | SnapshotRequest, accepted: boolean, index: LogIndex): void {
		this._effects.messages.push({
			...this._header(request.from, request.fromIncarnation),
			type: 'appendReply',
			accepted,
			index,
			sentAt: request.sentAt
		});
	}

	private _onAppend(request: AppendRequest, now: Millis): void {
		if (!this._acceptLeader(request, now)) {
			this._replyAppend(request, false, 0);
			return;
		}
		if (request.prevIndex < this._log.baseIndex) {
			this._replyAppend(request, false, this._commit);
			return;
		}
		if (this._log.termAt(request.prevIndex) !== request.prevTerm) {
			this._replyAppend(request, false, Math.min(request.prevIndex - 1, this._log.lastIndex));
			return;
		}
		this._takeEntries(request.entries);
		const matched = request.prevIndex + request.entries.length;
		this._replyAppend(request, true, matched);
		this._deliver(Math.min(request.commit, matched));
	}

	private _takeEntries(entries: readonly LogEntry[]): void {
		const known = entries.findIndex(entry => this._log.termAt(entry.index) !== entry.term);
		if (known < 0) {
			return;
		}
		const fresh = entries.slice(known);
		const first = fresh[0]!.index;
		let cutFrom: LogIndex | undefined;
		if (first <= this._log.lastIndex) {
			if (first <= this._commit) {
				throw new Error(`a committed entry would be dropped at ${first}, committed ${this._commit}`);
			}
			cutFrom = first;
			this._log.cutFrom(first);
			this._persisted = Math.min(this._persisted, first - 1);
		}
		this._log.append(fresh);
		this._effects.records.push({ cutFrom, entries: fresh });
		this._refreshMembers();
	}

	private _onSnapshot(request: SnapshotRequest, now: Millis): void {
		if (!this._acceptLeader(request, now)) {
			this._replyAppend(request, false, 0);
			return;
		}
		const snapshot = request.snapshot;
		if (snapshot.index > this._commit) {
			this._log.reset(snapshot);
			this._commit = snapshot.index;
			this._delivered = snapshot.index;
			this._persisted = snapshot.index;
			this._effects.records.push({ snapshot, hardState: this.hardState });
			this._effects.restore = snapshot;
			this._effects.committed.length = 0;
			this._refreshMembers();
		}
		this._replyAppend(request, true, Math.min(this._commit, Math.max(snapshot.index, 0)));
	}

	private _onAppendReply(reply: AppendReply, now: Millis): void {
		const member = this._members.find(m => m.id === reply.from && m.incarnation === reply.fromIncarnation);
		if (this._role !== ReplicaRole.Leader || reply.term !== this._term || !member) {
			return;
		}
		const progress = this._progressOf(member);
		progress.acknowledgedAt = Math.max(progress.acknowledgedAt, reply.sentAt);
		if (!reply.accepted) {
			progress.next = Math.max(progress.match, Math.min(reply.index, progress.next - 1)) + 1;
			this._sendAppend(member, now);
			return;
		}
		progress.snapshotSentAt = undefined;
		progress.match = Math.max(progress.match, reply.index);
		progress.next = Math.max(progress.next, progress.match + 1);
		this._advanceCommit(now);
		this._promoteWholeLearner(now);
		if (progress.next <= this._log.lastIndex) {
			this._sendAppend(member, now);
		}
	}

	private _advanceCommit(now: Millis): void {
		if (this._role !== ReplicaRole.Leader) {
			return;
		}
		const reached = quorumValue(this._members, member =>
			this._isSelf(member) ? this._persisted : this._progress.matchOf(member)
		);
		if (reached > this._commit && this._log.termAt(reached) === this._term) {
			this._deliver(reached);
			this._broadcastAppend(now);
		}
	}

	private _deliver(commit: LogIndex): void {
		if (commit <= this._commit) {
			return;
		}
		this._commit = commit;
		const entries = this._log.slice(this._delivered + 1, commit - this._delivered);
		this._effects.committed.push(...entries);
		this._delivered = commit;
	}

	private _appendOwn(entries: readonly LogEntry[]): void {
		this._log.append(entries);
		this._effects.records.push({ entries });
		this._refreshMembers();
	}

	private _refreshMembers(): void {
		const latest = this._log.latestMembers();
		this._members = latest.members;
		this._membersIndex = latest.index;
	}

	private _canChangeMembers(): boolean {
		const isSettled = this._commit >= this._membersIndex && this._commit >= this._termStartIndex;
		return this._role === ReplicaRole.Leader && isSettled;
	}

	private _changeMembers(members: readonly Member[], now: Millis): void {
		const index = this._log.lastIndex + 1;
		this._appendOwn([{ index, term: this._term, kind: EntryKind.Members, members }]);
		this._broadcastAppend(now);
	}

	/** A learner votes only once it holds, synced, everything that is committed. */
	private _promoteWholeLearner(now: Millis): void {
		const wanted = this._isDiscovered ? targetVoterCount(this._members) : this._members.length;
		if (!this._canChangeMembers() || votersOf(this._members).length >= wanted) {
			return;
		}
		const whole = this._members.find(member => member.role === MemberRole.Learner && this._isWhole(member, now));
		if (whole) {
			this._changeMembers(promote(this._members, whole.id), now);
		}
	}

	private _isWhole(member: Member, now: Millis): boolean {
		return this._isSelf(member) || this._progress.isWhole(member, this._commit, this._leaderSince, now);
	}

	private _isSilent(member: Member, now: Millis): boolean {
		return !this._isSelf(member) && this._progress.isSilent(member, this._leaderSince, now);
	}

	/** Removes a member that fell silent and whose successor, of the same data hall, holds everything committed. */
	private _removeReplaced(now: Millis): void {
		if (!this._isDiscovered || !this._canChangeMembers()) {
			return;
		}
		const replaced = findReplaced(
			this._members,
			member => this._isSilent(member, now),
			member => this._isWhole(member, now)
		);
		if (replaced) {
			this._changeMembers(remove(this._members, replaced.id), now);
			this._progress.forget(replaced.id);
		}
	}
}
