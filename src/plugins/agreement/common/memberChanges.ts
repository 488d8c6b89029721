/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How a leader changes the list of members: one member at a time, each change committed before the next. */

import type { Millis } from '../../../base/clock.js';
import { EntryKind, type Member, type MemberId, MemberRole, ReplicaRole } from './agreementTypes.js';
import type { Leadership } from './leadership.js';
import { admitLearner, findReplaced, promote, remove, targetVoterCount, votersOf } from './memberList.js';
import type { ReplicaIdentity, ReplicaState } from './replicaState.js';

/** The leader's changes of the list of members. */
export class MemberChanges {
	/** @param _isDiscovered see {@link ReplicaStart} */
	constructor(
		private readonly _state: ReplicaState,
		private readonly _leadership: Leadership,
		private readonly _isDiscovered: boolean
	) {}

	/** Promotes and removes whom time has made ready for it. */
	tick(now: Millis): void {
		this.promoteWholeLearner(now);
		this._removeReplaced(now);
	}

	/** Admits a newcomer as a learner when no other change is under way. */
	admit(newcomer: ReplicaIdentity, now: Millis): void {
		if (!this._isPossible()) {
			return;
		}
		const admittedAt = this._state.log.lastIndex + 1;
		const changed = admitLearner(this._state.members, { ...newcomer, admittedAt });
		if (changed) {
			this._leadership.progress.forget(newcomer.id);
			this._change(changed, now);
		}
	}

	/** Removes a member; returns false when that can't be done here and now. */
	remove(id: MemberId, now: Millis): boolean {
		const { members, self } = this._state;
		const isPossible = this._isPossible() && id !== self.id && members.some(member => member.id === id);
		if (isPossible) {
			this._change(remove(members, id), now);
			this._leadership.progress.forget(id);
		}
		return isPossible;
	}

	/** A learner votes only once it holds, synced, everything that is committed. */
	promoteWholeLearner(now: Millis): void {
		const { members } = this._state;
		const wanted = this._isDiscovered ? targetVoterCount(members) : members.length;
		if (!this._isPossible() || votersOf(members).length >= wanted) {
			return;
		}
		const isReady = (member: Member): boolean =>
			member.role === MemberRole.Learner && this._leadership.isWhole(member, now);
		const whole = members.find(isReady);
		if (whole) {
			this._change(promote(members, whole.id), now);
		}
	}

	/** Removes a member that fell silent and whose successor, of the same data hall, holds everything committed. */
	private _removeReplaced(now: Millis): void {
		if (!this._isDiscovered || !this._isPossible()) {
			return;
		}
		const replaced = findReplaced(
			this._state.members,
			member => this._leadership.isSilent(member, now),
			member => this._leadership.isWhole(member, now)
		);
		if (replaced) {
			this._change(remove(this._state.members, replaced.id), now);
			this._leadership.progress.forget(replaced.id);
		}
	}

	private _isPossible(): boolean {
		const { role, commit, membersIndex } = this._state;
		return role === ReplicaRole.Leader && commit >= membersIndex && this._leadership.hasCommitted;
	}

	private _change(members: readonly Member[], now: Millis): void {
		const { log, term } = this._state;
		this._state.appendOwn([{ index: log.lastIndex + 1, term, kind: EntryKind.Members, members }]);
		this._leadership.broadcast(now);
	}
}
