/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Member changes by the leader: one member at a time, each change committed before the next. */

import type { Millis } from '../../../base/clock.js';
import { EntryKind, type Member, type MemberId, MemberRole, ReplicaRole } from './agreementTypes.js';
import type { Leadership } from './leadership.js';
import {
	admitLearner,
	findReplacedMember,
	promoteLearner,
	withoutMember,
	desiredVoterCount,
	votersOf
} from './memberList.js';
import type { ReplicaIdentity, ReplicaState } from './replicaState.js';

/** Admits, promotes and removes members while this replica is the leader. */
export class MemberChanges {
	/** @param _hasDiscoveredMembers see `ReplicaOptions.hasDiscoveredMembers` */
	constructor(
		private readonly _state: ReplicaState,
		private readonly _leadership: Leadership,
		private readonly _hasDiscoveredMembers: boolean
	) {}

	/** Promotes a learner or removes a replaced member, if one is due. */
	tick(now: Millis): void {
		this.promoteCaughtUpLearner(now);
		this._removeReplaced(now);
	}

	/** Admits a replica as a learner unless another member change is in progress. */
	admit(identity: ReplicaIdentity, now: Millis): void {
		if (!this._canChangeMembers()) {
			return;
		}
		const admittedAt = this._state.log.lastIndex + 1;
		const changed = admitLearner(this._state.members, { ...identity, admittedAt });
		if (changed) {
			this._leadership.progress.remove(identity.id);
			this._appendMembers(changed, now);
		}
	}

	/** Removes a member other than the leader itself; returns false if this replica cannot do so now. */
	remove(id: MemberId, now: Millis): boolean {
		const { members, self } = this._state;
		const canRemove = this._canChangeMembers() && id !== self.id && members.some(member => member.id === id);
		if (canRemove) {
			this._appendMembers(withoutMember(members, id), now);
			this._leadership.progress.remove(id);
		}
		return canRemove;
	}

	/** Promotes a learner to a voter once it has synced everything committed, if another voter is wanted. */
	promoteCaughtUpLearner(now: Millis): void {
		const { members } = this._state;
		const desiredVoters = this._hasDiscoveredMembers ? desiredVoterCount(members) : members.length;
		if (!this._canChangeMembers() || votersOf(members).length >= desiredVoters) {
			return;
		}
		const isReady = (member: Member): boolean =>
			member.role === MemberRole.Learner && this._leadership.isCaughtUp(member, now);
		const learner = members.find(isReady);
		if (learner) {
			this._appendMembers(promoteLearner(members, learner.id), now);
		}
	}

	/** Removes an unresponsive member that has a caught-up successor in the same data hall. */
	private _removeReplaced(now: Millis): void {
		if (!this._hasDiscoveredMembers || !this._canChangeMembers()) {
			return;
		}
		const replaced = findReplacedMember(
			this._state.members,
			member => this._leadership.isUnresponsive(member, now),
			member => this._leadership.isCaughtUp(member, now)
		);
		if (replaced) {
			this._appendMembers(withoutMember(this._state.members, replaced.id), now);
			this._leadership.progress.remove(replaced.id);
		}
	}

	private _canChangeMembers(): boolean {
		const { role, commitIndex, membersIndex } = this._state;
		return role === ReplicaRole.Leader && commitIndex >= membersIndex && this._leadership.hasCommittedInTerm;
	}

	private _appendMembers(members: readonly Member[], now: Millis): void {
		const { log, term } = this._state;
		this._state.appendLocal([{ index: log.lastIndex + 1, term, kind: EntryKind.Members, members }]);
		this._leadership.broadcast(now);
	}
}
