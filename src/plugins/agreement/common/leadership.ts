/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The leader's side of the replication: sends the log, advances the commit index, tracks contact with the quorum. */

import type { Millis } from '../../../base/clock.js';
import {
	type AppendReply,
	EntryKind,
	type LogEntry,
	type LogIndex,
	type Member,
	ReplicaRole
} from './agreementTypes.js';
import { estimateEntryBytes } from './entrySize.js';
import { quorumValue } from './memberList.js';
import { MemberProgress, type Progress } from './memberProgress.js';
import type { ReplicaState } from './replicaState.js';

const MAX_ENTRIES_PER_MESSAGE = 512;
/** Entries in a message to a member whose log may not match, which may have to be sent again. */
const MAX_ENTRIES_PER_PROBE = 64;
/** Estimated size of the entries in a message, unless a single one is larger. */
const MAX_BYTES_PER_MESSAGE = 1024 * 1024;
/** Entries that a member may have been sent without having acknowledged them. */
const MAX_UNACKNOWLEDGED_ENTRIES = 1024;
/** Time to wait for a response to entries before they are sent again to a member whose log may not match. */
const PROBE_RETRY_MS: Millis = 500;
/** Time to wait for a response to a snapshot before sending it again. */
const SNAPSHOT_RETRY_MS: Millis = 3000;

/** Step between the sending times of messages that are sent at the same time; replies name a message by its sending time. */
const SENDING_TIME_STEP_MS: Millis = 0.001;

/** State and actions of a leader; unused while this replica is not the leader. */
export class Leadership {
	/** Replication progress of the other members in this term. */
	readonly progress = new MemberProgress();
	/** When this replica last became the leader. */
	electedAt: Millis = 0;
	private _nextHeartbeatAt: Millis = 0;
	private _lastSentAt: Millis = Number.NEGATIVE_INFINITY;
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
		if (reply.accepted) {
			this._onAccepted(reply, progress);
			this.advanceCommit(now);
		} else {
			this._onRejected(reply, progress, member, now);
		}
	}

	/** Sends the remaining entries to a member that has acknowledged some. */
	sendRemainingEntries(member: Member, now: Millis): void {
		const progress = this._progressOf(member);
		if (progress.isMatching && this._unsentEntries(progress).length > 0) {
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

	private _onAccepted(reply: AppendReply, progress: Progress): void {
		progress.matchIndex = Math.max(progress.matchIndex, reply.index);
		progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
		if (reply.sentAt === progress.awaitedSince) {
			progress.awaitedSince = undefined;
			progress.isMatching = true;
			progress.matchingSince = reply.sentAt;
			progress.nextIndex = progress.matchIndex + 1;
		}
	}

	/**
	 * Goes back to where the member's log ends or differs. While a response is awaited, only the rejection of what it is awaited for
	 * counts: a member that restarts rejects everything that was in flight.
	 */
	private _onRejected(reply: AppendReply, progress: Progress, member: Member, now: Millis): void {
		const isAwaited = reply.sentAt === progress.awaitedSince;
		const isOutdated = progress.isMatching ? reply.sentAt < progress.matchingSince : !isAwaited;
		if (isOutdated) {
			return;
		}
		const lastIndex = Math.min(reply.index, isAwaited ? this._state.log.lastIndex : progress.nextIndex - 1);
		progress.isMatching = false;
		progress.awaitedSince = undefined;
		progress.nextIndex = lastIndex + 1;
		if (isAwaited) {
			// Nothing was sent ahead of the rejected message, so a shorter log means that the member lost what it had synced.
			progress.matchIndex = Math.min(progress.matchIndex, lastIndex);
		}
		this._sendTo(member, now);
	}

	/** Entries that may be sent to a member now; none while too many are unacknowledged. */
	private _unsentEntries({ isMatching, matchIndex, nextIndex }: Progress): LogEntry[] {
		const allowed = matchIndex + MAX_UNACKNOWLEDGED_ENTRIES - (nextIndex - 1);
		const limit = isMatching ? Math.min(MAX_ENTRIES_PER_MESSAGE, Math.max(0, allowed)) : MAX_ENTRIES_PER_PROBE;
		return takeUpToBytes(this._state.log.slice(nextIndex, limit), MAX_BYTES_PER_MESSAGE);
	}

	/** Sends the entries that a member lacks, or a snapshot in place of compacted ones, or a heartbeat. */
	private _sendTo(member: Member, now: Millis): void {
		const progress = this._progressOf(member);
		const needsSnapshot = progress.nextIndex <= this._state.log.baseIndex;
		const retryMs = needsSnapshot ? SNAPSHOT_RETRY_MS : PROBE_RETRY_MS;
		if (progress.awaitedSince !== undefined && now - progress.awaitedSince < retryMs) {
			this._sendHeartbeat(member, progress, now);
		} else if (needsSnapshot) {
			progress.isMatching = false;
			progress.awaitedSince = this._sendSnapshot(member, now);
		} else {
			const entries = this._unsentEntries(progress);
			const sentAt = this._sendEntries(member, progress.nextIndex - 1, entries, now);
			progress.awaitedSince = progress.isMatching ? undefined : sentAt;
			progress.nextIndex += progress.isMatching ? entries.length : 0;
		}
	}

	/** Sends no entries to a member that has to answer earlier ones first, but keeps in contact with it. */
	private _sendHeartbeat(member: Member, { matchIndex }: Progress, now: Millis): void {
		const isInMemory = this._state.log.termAt(matchIndex) !== undefined;
		this._sendEntries(member, isInMemory ? matchIndex : 0, [], now);
	}

	/** @returns the sending time of the message */
	private _sendEntries(member: Member, prevIndex: LogIndex, entries: LogEntry[], now: Millis): Millis {
		const state = this._state;
		const sentAt = this._takeSendingTime(now);
		state.effects.earlyMessages.push({
			...state.createHeader(member.id, member.incarnation),
			type: 'append',
			prevIndex,
			prevTerm: state.log.termAt(prevIndex) ?? 0,
			entries,
			commit: state.commitIndex,
			sentAt
		});
		return sentAt;
	}

	/** @returns the sending time of the message */
	private _sendSnapshot(member: Member, now: Millis): Millis {
		const sentAt = this._takeSendingTime(now);
		this._state.effects.earlyMessages.push({
			...this._state.createHeader(member.id, member.incarnation),
			type: 'snapshot',
			snapshot: this._state.log.snapshot!,
			sentAt
		});
		return sentAt;
	}

	private _takeSendingTime(now: Millis): Millis {
		this._lastSentAt = Math.max(now, this._lastSentAt + SENDING_TIME_STEP_MS);
		return this._lastSentAt;
	}
}

/** The first entries whose sizes add up to no more than a number of bytes, but at least one. */
function takeUpToBytes(entries: readonly LogEntry[], maxBytes: number): LogEntry[] {
	let bytes = 0;
	const firstBeyond = entries.findIndex((entry, i) => {
		bytes += estimateEntryBytes(entry);
		return i > 0 && bytes > maxBytes;
	});
	return firstBeyond < 0 ? [...entries] : entries.slice(0, firstBeyond);
}
