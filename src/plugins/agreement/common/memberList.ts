/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Pure functions on the member list: quorum, admission, promotion and replacement. */

import { type Member, type MemberId, MemberRole } from './agreementTypes.js';

/** The members that count towards the quorum. */
export function votersOf(members: readonly Member[]): Member[] {
	return members.filter(member => member.role === MemberRole.Voter);
}

/** Number of voters that form a quorum. */
export function quorumSize(members: readonly Member[]): number {
	return Math.floor(votersOf(members).length / 2) + 1;
}

/**
 * The highest value that a quorum of voters has reached or exceeded; 0 without voters.
 * @param valueOf value of a voter, such as its last synced index
 */
export function quorumValue(members: readonly Member[], valueOf: (member: Member) => number): number {
	const values = votersOf(members)
		.map(valueOf)
		.sort((a, b) => b - a);
	return values[quorumSize(members) - 1] ?? 0;
}

function withMember(members: readonly Member[], changed: Member): Member[] {
	const others = members.filter(member => member.id !== changed.id);
	return [...others, changed].sort((a, b) => (a.id < b.id ? -1 : 1));
}

/**
 * The member list with a new replica, or a member that lost its disk, as a learner. A member that kept its disk stays a
 * voter and only gets its new address or data hall.
 * @returns undefined if nothing changes, or if fewer voters than a majority of the desired ones would remain: losing
 * another disk could then lose committed entries
 */
export function admitLearner(members: readonly Member[], replica: Omit<Member, 'role'>): Member[] | undefined {
	const { id, incarnation, address } = replica;
	const existing = members.find(member => member.id === id);
	const isSameDisk = existing?.incarnation === incarnation && existing.address === address;
	if (isSameDisk && (replica.hall === undefined || replica.hall === existing.hall)) {
		return undefined;
	}
	if (isSameDisk) {
		return withMember(members, { ...existing, hall: replica.hall });
	}
	const changedMembers = withMember(members, { ...replica, role: MemberRole.Learner });
	const wasVoter = existing?.role === MemberRole.Voter;
	const majority = Math.floor(desiredVoterCount(changedMembers) / 2) + 1;
	if (wasVoter && existing.incarnation === incarnation) {
		return withMember(members, { ...existing, address });
	}
	if (wasVoter && votersOf(changedMembers).length < majority) {
		return undefined;
	}
	return changedMembers;
}

/** The member list with a learner promoted to a voter. */
export function promoteLearner(members: readonly Member[], id: MemberId): Member[] {
	const learner = members.find(member => member.id === id);
	return learner ? withMember(members, { ...learner, role: MemberRole.Voter }) : [...members];
}

/**
 * Number of members that should be voters: all of an odd number, all but one of an even one. An even number of voters
 * needs a larger quorum without tolerating more failures, and has no quorum when partitioned into halves.
 */
export function desiredVoterCount(members: readonly Member[]): number {
	return members.length % 2 === 1 ? members.length : members.length - 1;
}

/**
 * Finds an unresponsive member that has a successor: a caught-up member of the same data hall that was admitted later.
 * @returns the member to remove; undefined if the responsive voters among the others would not form a quorum
 */
export function findReplacedMember(
	members: readonly Member[],
	isUnresponsive: (member: Member) => boolean,
	isCaughtUp: (member: Member) => boolean
): Member | undefined {
	const replaced = members.find(member => {
		const isSuccessor = (other: Member): boolean =>
			other.hall === member.hall && (other.admittedAt ?? 0) > (member.admittedAt ?? 0) && isCaughtUp(other);
		return member.hall !== undefined && isUnresponsive(member) && members.some(isSuccessor);
	});
	if (!replaced) {
		return undefined;
	}
	const remaining = withoutMember(members, replaced.id);
	const responsiveVoters = votersOf(remaining).filter(member => !isUnresponsive(member)).length;
	return responsiveVoters >= quorumSize(remaining) ? replaced : undefined;
}

/** The member list with a member removed. */
export function withoutMember(members: readonly Member[], id: MemberId): Member[] {
	return members.filter(member => member.id !== id);
}
