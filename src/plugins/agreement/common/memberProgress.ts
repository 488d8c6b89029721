/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What a leader knows of the other members: how far each one's log is, and when it was last heard. */

import type { Millis } from '../../../base/clock.js';
import type { LogIndex, Member, MemberId } from './agreementTypes.js';

/** A member that did not answer for this long may be removed for its successor. */
const SILENT_MEMBER_MS = 2500;

/** One member as the leader knows it. */
export interface Progress {
	/** Last index known to be synced there. */
	match: LogIndex;
	/** Next index to send. */
	next: LogIndex;
	/** Sending time of the latest message that was acknowledged. */
	acknowledgedAt: Millis;
	/** When a snapshot was last sent; undefined when none is on the way. */
	snapshotSentAt?: Millis;
}

/** The members' progress in one term. */
export class MemberProgress {
	private readonly _byMember = new Map<MemberId, Progress>();

	/** Forgets everything, as a new term begins. */
	clear(): void {
		this._byMember.clear();
	}

	/** Forgets one member. */
	forget(id: MemberId): void {
		this._byMember.delete(id);
	}

	/**
	 * The progress of a member.
	 * @param nextIndex what to send first to one that is not known yet
	 */
	of(member: Member, nextIndex: LogIndex): Progress {
		let progress = this._byMember.get(member.id);
		if (!progress) {
			progress = { match: 0, next: nextIndex, acknowledgedAt: Number.NEGATIVE_INFINITY };
			this._byMember.set(member.id, progress);
		}
		return progress;
	}

	/** Last index known to be synced at a member. */
	matchOf(member: Member): LogIndex {
		return this._byMember.get(member.id)?.match ?? 0;
	}

	/** When a member was last heard. */
	heardAt(member: Member): Millis {
		return this._byMember.get(member.id)?.acknowledgedAt ?? Number.NEGATIVE_INFINITY;
	}

	/** Whether a member has not answered for long, counted from the beginning of the term at the earliest. */
	isSilent(member: Member, leaderSince: Millis, now: Millis): boolean {
		return now - Math.max(this.heardAt(member), leaderSince) > SILENT_MEMBER_MS;
	}

	/** Whether a member answers and holds, synced, everything up to an index. */
	isWhole(member: Member, commit: LogIndex, leaderSince: Millis, now: Millis): boolean {
		const isKnown = this._byMember.has(member.id);
		return isKnown && this.matchOf(member) >= commit && !this.isSilent(member, leaderSince, now);
	}
}
