/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Replication progress of the other members, as known to the leader. */

import type { Millis } from '../../../base/clock.js';
import type { LogIndex, Member, MemberId } from './agreementTypes.js';

/** A member that has not responded for this long counts as unresponsive and may be replaced by its successor. */
const MEMBER_TIMEOUT_MS = 2500;

/** Replication progress of a member. */
export interface Progress {
	/** Last index that the member is known to have synced. */
	matchIndex: LogIndex;
	/** Next index to send to the member. */
	nextIndex: LogIndex;
	/** Sending time of the latest message that the member has acknowledged. */
	acknowledgedAt: Millis;
	/** Whether the member's log is known to match up to `nextIndex`, so that entries may be sent before earlier ones are acknowledged. */
	isMatching: boolean;
	/** Sending time of the entries or the snapshot that the member has to answer first; undefined if there are none. */
	awaitedSince?: Millis;
	/** Rejections of messages sent before this time are outdated. */
	matchingSince: Millis;
}

/** Replication progress of the members in one term. */
export class MemberProgress {
	private readonly _byMember = new Map<MemberId, Progress>();

	/** Removes all members when a new term begins. */
	clear(): void {
		this._byMember.clear();
	}

	remove(id: MemberId): void {
		this._byMember.delete(id);
	}

	/**
	 * Returns the progress of a member; creates it if missing.
	 * @param initialNextIndex next index of a member that has no progress yet
	 */
	getOrCreate(member: Member, initialNextIndex: LogIndex): Progress {
		let progress = this._byMember.get(member.id);
		if (!progress) {
			progress = {
				matchIndex: 0,
				nextIndex: initialNextIndex,
				acknowledgedAt: Number.NEGATIVE_INFINITY,
				isMatching: false,
				matchingSince: Number.NEGATIVE_INFINITY
			};
			this._byMember.set(member.id, progress);
		}
		return progress;
	}

	/** Last index that a member is known to have synced; 0 if none is. */
	matchIndexOf(member: Member): LogIndex {
		return this._byMember.get(member.id)?.matchIndex ?? 0;
	}

	/** Sending time of the latest message that a member has acknowledged. */
	lastContactAt(member: Member): Millis {
		return this._byMember.get(member.id)?.acknowledgedAt ?? Number.NEGATIVE_INFINITY;
	}

	/** Whether a member has not responded within the member timeout, which starts at the election at the earliest. */
	isUnresponsive(member: Member, electedAt: Millis, now: Millis): boolean {
		return now - Math.max(this.lastContactAt(member), electedAt) > MEMBER_TIMEOUT_MS;
	}

	/** Whether a member responds and has synced everything up to the commit index. */
	isCaughtUp(member: Member, commitIndex: LogIndex, electedAt: Millis, now: Millis): boolean {
		const isKnown = this._byMember.has(member.id);
		return isKnown && this.matchIndexOf(member) >= commitIndex && !this.isUnresponsive(member, electedAt, now);
	}
}
