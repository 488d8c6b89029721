/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The leader's side of the replication: sends the log, advances the commit index, tracks contact with the quorum. */

import type { Millis } from '../../../base/clock.js';
import { type AppendReply, EntryKind, type LogIndex, type Member, ReplicaRole } from './agreementTypes.js';
import { quorumValue } from './memberList.js';
import { MemberProgress, type Progress } from './memberProgress.js';
import type { ReplicaState } from './replicaState.js';

const MAX_ENTRIES_PER_MESSAGE = 512;
/** Time to wait for a response to a snapshot before sending it again. */
const SNAPSHOT_RETRY_MS = 3000;

/** State and actions of a leader; unused while this replica is not the leader. */
export class Leadership {
	/** Replication progress of the other members in this term. */
	readonly progress = new MemberProgress();
	/** When this replica last became the leader. */
	electedAt: Millis = 0;
	private _nextHeartbeatAt: Millis = 0;
	private _termStartIndex: LogIndex = 0;

	constructor(private readonly _state: ReplicaState) {}

	/** Takes the lead in the current term. */
	becomeLeader(now: Millis): void {
		const state = this._state;
		state.role = ReplicaRole.Leader;
		state.leader = state.self.id;
		this.electedAt = now;
		this.progress.clear();
		this._termStartIndex = state.log.lastIndex + 1;
		state.appendLocal([state.createEntry(this._termStartIndex, EntryKind.NoOperation)]);
		this.broadcast(now);
	}

	/** Whether an entry of this term is committed; until then earlier entries may be committed without this leader knowing. */
	get hasCommittedInTerm(): boolean {
		return this._state.commitIndex >= this._termStartIndex;
	}

	/** Latest sending time such that a quorum has acknowledged a message sent at that time or later. */
	lastQuorumContactAt(now: Millis): Millis {
		const { members } = this._state;
		return quorumValue(members, member => (this._state.isSelf(member) ? now : this.progress.lastContactAt(member)));
	}

	/** Time since the last quorum contact, or since the election if that is later. */
	sinceQuorumContactMs(now: Millis): Millis {
		return now - Math.max(this.lastQuorumContactAt(now), this.electedAt);
	}

	/** Sends a heartbeat if due; returns false if the quorum is lost and this replica must step down. */
	tick(now: Millis): boolean {
		if (this.sinceQuorumContactMs(now) > this._state.timing.electionMinMs * 2) {
			return false;
		}
		if (now >= this._nextHeartbeatAt) {
			this.broadcast(now);
		}
		return true;
	}

	/** Sends every other member the entries that it lacks, or a heartbeat. */
	broadcast(now: Millis): void {
		this._nextHeartbeatAt = now + this._state.timing.heartbeatMs;
		for (const member of this._state.members) {
			if (!this._state.isSelf(member)) {
				this._sendTo(member, now);
			}
		}
	}

	/** Updates the progress of a member from its reply. */
	onReply(reply: AppendReply, member: Member, now: Millis): void {
		const progress = this._progressOf(member);
		progress.acknowledgedAt = Math.max(progress.acknowledgedAt, reply.sentAt);
		if (!reply.accepted) {
			progress.nextIndex = Math.max(progress.matchIndex, Math.min(reply.index, progress.nextIndex - 1)) + 1;
			this._sendTo(member, now);
			return;
		}
		progress.snapshotSentAt = undefined;
		progress.matchIndex = Math.max(progress.matchIndex, reply.index);
		progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
		this.advanceCommit(now);
	}

	/** Sends the remaining entries to a member that has acknowledged some. */
	sendRemainingEntries(member: Member, now: Millis): void {
		if (this._progressOf(member).nextIndex <= this._state.log.lastIndex) {
			this._sendTo(member, now);
		}
	}

	/** Commits up to the index that a quorum has synced, if the entry there is of this term. */
	advanceCommit(now: Millis): void {
		const state = this._state;
		const quorumIndex = quorumValue(state.members, member =>
			state.isSelf(member) ? state.persistedIndex : this.progress.matchIndexOf(member)
		);
		if (quorumIndex > state.commitIndex && state.log.termAt(quorumIndex) === state.term) {
			state.commitUpTo(quorumIndex);
			this.broadcast(now);
		}
	}

	/** Whether a member responds and has synced everything committed. */
	isCaughtUp(member: Member, now: Millis): boolean {
		return this._state.isSelf(member) || this.progress.isCaughtUp(member, this._state.commitIndex, this.electedAt, now);
	}

	/** Whether a member has not responded within the member timeout. */
	isUnresponsive(member: Member, now: Millis): boolean {
		return !this._state.isSelf(member) && this.progress.isUnresponsive(member, this.electedAt, now);
	}

	private _progressOf(member: Member): Progress {
		return this.progress.getOrCreate(member, this._state.log.lastIndex + 1);
	}

	private _sendTo(member: Member, now: Millis): void {
		const state = this._state;
		const progress = this._progressOf(member);
		if (progress.nextIndex <= state.log.baseIndex) {
			this._sendSnapshot(member, progress, now);
			return;
		}
		const entries = state.log.slice(progress.nextIndex, MAX_ENTRIES_PER_MESSAGE);
		const prevIndex = progress.nextIndex - 1;
		state.effects.earlyMessages.push({
			...state.createHeader(member.id, member.incarnation),
			type: 'append',
			prevIndex,
			prevTerm: state.log.termAt(prevIndex)!,
			entries,
			commit: state.commitIndex,
			sentAt: now
		});
		progress.nextIndex += entries.length;
	}

	private _sendSnapshot(member: Member, progress: Progress, now: Millis): void {
		if (progress.snapshotSentAt !== undefined && now - progress.snapshotSentAt < SNAPSHOT_RETRY_MS) {
			return;
		}
		progress.snapshotSentAt = now;
		this._state.effects.earlyMessages.push({
			...this._state.createHeader(member.id, member.incarnation),
			type: 'snapshot',
			snapshot: this._state.log.snapshot!,
			sentAt: now
		});
	}
}
