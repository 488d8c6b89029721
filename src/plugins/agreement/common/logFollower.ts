/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The follower's side of the replication: appends the leader's entries and installs its snapshots. */

import type { Millis } from '../../../base/clock.js';
import {
	type AppendRequest,
	type LogEntry,
	type LogIndex,
	ReplicaRole,
	type SnapshotRequest
} from './agreementTypes.js';
import type { ReplicaState } from './replicaState.js';

/** Handles the requests of the leader. */
export class LogFollower {
	constructor(private readonly _state: ReplicaState) {}

	/** Handles entries or a heartbeat. */
	onAppend(request: AppendRequest, now: Millis): void {
		if (!this._acceptLeader(request, now)) {
			this._reply(request, false, 0);
			return;
		}
		this._appendEntries(request);
		this._state.recordLeaderCommit(request.commit, now);
	}

	private _appendEntries(request: AppendRequest): void {
		const { log } = this._state;
		if (request.prevIndex < log.baseIndex) {
			this._reply(request, false, this._state.commitIndex);
			return;
		}
		if (log.termAt(request.prevIndex) !== request.prevTerm) {
			this._reply(request, false, Math.min(request.prevIndex - 1, log.lastIndex));
			return;
		}
		this._appendMissingEntries(request.entries);
		const lastMatchIndex = request.prevIndex + request.entries.length;
		this._reply(request, true, lastMatchIndex);
		this._state.commitUpTo(Math.min(request.commit, lastMatchIndex));
	}

	/** Installs a snapshot, sent in place of entries that the leader has compacted; an outdated one is ignored. */
	onSnapshot(request: SnapshotRequest, now: Millis): void {
		const state = this._state;
		if (!this._acceptLeader(request, now)) {
			this._reply(request, false, 0);
			return;
		}
		const { snapshot } = request;
		if (snapshot.index > state.commitIndex) {
			state.log.reset(snapshot);
			state.resetToSnapshot(snapshot.index);
			state.effects.records.push({ snapshot, hardState: state.hardState });
			state.effects.restore = snapshot;
			state.effects.committed.length = 0;
		}
		this._reply(request, true, Math.min(state.commitIndex, Math.max(snapshot.index, 0)));
	}

	private _acceptLeader(message: AppendRequest | SnapshotRequest, now: Millis): boolean {
		const state = this._state;
		if (message.term < state.term) {
			return false;
		}
		if (state.role === ReplicaRole.Leader) {
			throw new Error(`two leaders in term ${state.term}: ${state.self.id} and ${message.from}`);
		}
		state.role = ReplicaRole.Follower;
		state.leader = message.from;
		state.lastLeaderContactAt = now;
		state.resetElectionTimer(now);
		return true;
	}

	private _reply(request: AppendRequest | SnapshotRequest, accepted: boolean, index: LogIndex): void {
		this._state.effects.messages.push({
			...this._state.createHeader(request.from, request.fromIncarnation),
			type: 'appendReply',
			accepted,
			index,
			sentAt: request.sentAt
		});
	}

	private _appendMissingEntries(entries: readonly LogEntry[]): void {
		const state = this._state;
		const firstMissing = entries.findIndex(entry => state.log.termAt(entry.index) !== entry.term);
		if (firstMissing < 0) {
			return;
		}
		const missingEntries = entries.slice(firstMissing);
		const cutFrom = this._truncateFrom(missingEntries[0]!.index);
		state.log.append(missingEntries);
		state.effects.records.push({ cutFrom, entries: missingEntries });
		state.refreshMembers();
	}

	/** Removes the entries from an index on; returns the index, or undefined if there were none. */
	private _truncateFrom(first: LogIndex): LogIndex | undefined {
		const state = this._state;
		if (first > state.log.lastIndex) {
			return undefined;
		}
		if (first <= state.commitIndex) {
			throw new Error(`cannot truncate the log from ${first}: committed up to ${state.commitIndex}`);
		}
		state.log.truncateFrom(first);
		state.persistedIndex = Math.min(state.persistedIndex, first - 1);
		return first;
	}
}
