/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What a leader does: sends its log, learns what a quorum holds, keeps its lease. */

import type { Millis } from '../../../base/clock.js';
import { type AppendReply, EntryKind, type LogIndex, type Member, ReplicaRole } from './agreementTypes.js';
import { quorumValue } from './memberList.js';
import { MemberProgress, type Progress } from './memberProgress.js';
import type { ReplicaState } from './replicaState.js';

const MAX_ENTRIES_PER_MESSAGE = 512;
/** A snapshot is sent again only after this long without an answer. */
const SNAPSHOT_RETRY_MS = 3000;

/** The leader's side of the replication; idle while another replica leads. */
export class Leadership {
	/** What is known of the other members in this term. */
	readonly progress = new MemberProgress();
	/** When this replica was elected. */
	since: Millis = 0;
	private _heartbeatAt: Millis = 0;
	private _termStartIndex: LogIndex = 0;

	constructor(private readonly _state: ReplicaState) {}

	/** Begins to lead the present term. */
	begin(now: Millis): void {
		const state = this._state;
		state.role = ReplicaRole.Leader;
		state.leader = state.self.id;
		this.since = now;
		this.progress.clear();
		this._termStartIndex = state.log.lastIndex + 1;
		state.appendOwn([state.entry(this._termStartIndex, EntryKind.NoOperation)]);
		this.broadcast(now);
	}

	/** Whether something of this term is committed: only then is everything before it known to be. */
	get hasCommitted(): boolean {
		return this._state.commit >= this._termStartIndex;
	}

	/** The latest time by which a quorum had heard from this leader. */
	quorumContact(now: Millis): Millis {
		const { members } = this._state;
		return quorumValue(members, member => (this._state.isSelf(member) ? now : this.progress.heardAt(member)));
	}

	/** How long ago a quorum was heard, counted from the election at the earliest. */
	quorumSilence(now: Millis): Millis {
		return now - Math.max(this.quorumContact(now), this.since);
	}

	/** Sends a heartbeat when it is due; false when the quorum is lost and this replica should no longer lead. */
	tick(now: Millis): boolean {
		if (this.quorumSilence(now) > this._state.timing.electionMinMs * 2) {
			return false;
		}
		if (now >= this._heartbeatAt) {
			this.broadcast(now);
		}
		return true;
	}

	/** Sends every other member what it lacks. */
	broadcast(now: Millis): void {
		this._heartbeatAt = now + this._state.timing.heartbeatMs;
		for (const member of this._state.members) {
			if (!this._state.isSelf(member)) {
				this._sendTo(member, now);
			}
		}
	}

	/** Learns how far a member is. */
	onReply(reply: AppendReply, member: Member, now: Millis): void {
		const progress = this._progressOf(member);
		progress.acknowledgedAt = Math.max(progress.acknowledgedAt, reply.sentAt);
		if (!reply.accepted) {
			progress.next = Math.max(progress.match, Math.min(reply.index, progress.next - 1)) + 1;
			this._sendTo(member, now);
			return;
		}
		progress.snapshotSentAt = undefined;
		progress.match = Math.max(progress.match, reply.index);
		progress.next = Math.max(progress.next, progress.match + 1);
		this.advanceCommit(now);
	}

	/** Sends the rest to a member that has acknowledged a part. */
	continueWith(member: Member, now: Millis): void {
		if (this._progressOf(member).next <= this._state.log.lastIndex) {
			this._sendTo(member, now);
		}
	}

	/** Commits what a quorum holds, synced, if it is of this term. */
	advanceCommit(now: Millis): void {
		const state = this._state;
		const reached = quorumValue(state.members, member =>
			state.isSelf(member) ? state.persisted : this.progress.matchOf(member)
		);
		if (reached > state.commit && state.log.termAt(reached) === state.term) {
			state.deliver(reached);
			this.broadcast(now);
		}
	}

	/** Whether a member answers and holds everything committed. */
	isWhole(member: Member, now: Millis): boolean {
		return this._state.isSelf(member) || this.progress.isWhole(member, this._state.commit, this.since, now);
	}

	/** Whether a member has not answered for long. */
	isSilent(member: Member, now: Millis): boolean {
		return !this._state.isSelf(member) && this.progress.isSilent(member, this.since, now);
	}

	private _progressOf(member: Member): Progress {
		return this.progress.of(member, this._state.log.lastIndex + 1);
	}

	private _sendTo(member: Member, now: Millis): void {
		const state = this._state;
		const progress = this._progressOf(member);
		if (progress.next <= state.log.baseIndex) {
			this._sendSnapshot(member, progress, now);
			return;
		}
		const entries = state.log.slice(progress.next, MAX_ENTRIES_PER_MESSAGE);
		const prevIndex = progress.next - 1;
		state.effects.earlyMessages.push({
			...state.header(member.id, member.incarnation),
			type: 'append',
			prevIndex,
			prevTerm: state.log.termAt(prevIndex)!,
			entries,
			commit: state.commit,
			sentAt: now
		});
		progress.next += entries.length;
	}

	private _sendSnapshot(member: Member, progress: Progress, now: Millis): void {
		if (progress.snapshotSentAt !== undefined && now - progress.snapshotSentAt < SNAPSHOT_RETRY_MS) {
			return;
		}
		progress.snapshotSentAt = now;
		this._state.effects.earlyMessages.push({
			...this._state.header(member.id, member.incarnation),
			type: 'snapshot',
			snapshot: this._state.log.snapshot!,
			sentAt: now
		});
	}
}
