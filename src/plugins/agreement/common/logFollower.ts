/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How a replica takes over the log of its leader. */

import type { Millis } from '../../../base/clock.js';
import {
	type AppendRequest,
	type LogEntry,
	type LogIndex,
	ReplicaRole,
	type SnapshotRequest
} from './agreementTypes.js';
import type { ReplicaState } from './replicaState.js';

/** The follower's side of the replication. */
export class LogFollower {
	constructor(private readonly _state: ReplicaState) {}

	/** Takes entries, or a heartbeat. */
	onAppend(request: AppendRequest, now: Millis): void {
		if (!this._acceptLeader(request, now)) {
			this._reply(request, false, 0);
			return;
		}
		this._follow(request);
		this._state.noteHeardCommit(request.commit, now);
	}

	private _follow(request: AppendRequest): void {
		const { log } = this._state;
		if (request.prevIndex < log.baseIndex) {
			this._reply(request, false, this._state.commit);
			return;
		}
		if (log.termAt(request.prevIndex) !== request.prevTerm) {
			this._reply(request, false, Math.min(request.prevIndex - 1, log.lastIndex));
			return;
		}
		this._takeEntries(request.entries);
		const matched = request.prevIndex + request.entries.length;
		this._reply(request, true, matched);
		this._state.deliver(Math.min(request.commit, matched));
	}

	/** Takes a snapshot in place of entries that the leader no longer holds. */
	onSnapshot(request: SnapshotRequest, now: Millis): void {
		const state = this._state;
		if (!this._acceptLeader(request, now)) {
			this._reply(request, false, 0);
			return;
		}
		const { snapshot } = request;
		if (snapshot.index > state.commit) {
			state.log.reset(snapshot);
			state.jumpTo(snapshot.index);
			state.effects.records.push({ snapshot, hardState: state.hardState });
			state.effects.restore = snapshot;
			state.effects.committed.length = 0;
		}
		this._reply(request, true, Math.min(state.commit, Math.max(snapshot.index, 0)));
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
		state.heardLeaderAt = now;
		state.postponeElection(now);
		return true;
	}

	private _reply(request: AppendRequest | SnapshotRequest, accepted: boolean, index: LogIndex): void {
		this._state.effects.messages.push({
			...this._state.header(request.from, request.fromIncarnation),
			type: 'appendReply',
			accepted,
			index,
			sentAt: request.sentAt
		});
	}

	private _takeEntries(entries: readonly LogEntry[]): void {
		const state = this._state;
		const known = entries.findIndex(entry => state.log.termAt(entry.index) !== entry.term);
		if (known < 0) {
			return;
		}
		const fresh = entries.slice(known);
		const cutFrom = this._cutFrom(fresh[0]!.index);
		state.log.append(fresh);
		state.effects.records.push({ cutFrom, entries: fresh });
		state.refreshMembers();
	}

	/** Drops what stands from an index on; returns the index, or undefined where nothing stood there. */
	private _cutFrom(first: LogIndex): LogIndex | undefined {
		const state = this._state;
		if (first > state.log.lastIndex) {
			return undefined;
		}
		if (first <= state.commit) {
			throw new Error(`a committed entry would be dropped at ${first}, committed ${state.commit}`);
		}
		state.log.cutFrom(first);
		state.persisted = Math.min(state.persisted, first - 1);
		return first;
	}
}
