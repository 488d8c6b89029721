/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Decisions about the list of members: quorum, replacement and promotion, one member at a time. */

import { type Member, type MemberId, MemberRole } from './agreementTypes.js';

/** The members whose votes count. */
export function votersOf(members: readonly Member[]): Member[] {
	return members.filter(member => member.role === MemberRole.Voter);
}

/** How many votes decide. */
export function quorumSize(members: readonly Member[]): number {
	return Math.floor(votersOf(members).length / 2) + 1;
}

/**
 * The highest value that a quorum of voters has reached.
 * @param valueOf the value of one voter, such as its last synced index
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
 * The list in which a newcomer, or a member that lost its disk, is a learner.
 * @returns undefined when nothing changes, or when the change would leave fewer voters than a majority of all members:
 * then a second loss right after the first could forget what was committed
 */
export function admitLearner(members: readonly Member[], newcomer: Omit<Member, 'role'>): Member[] | undefined {
	const { id, incarnation, address } = newcomer;
	const known = members.find(member => member.id === id);
	const isSameDisk = known?.incarnation === incarnation && known.address === address;
	if (isSameDisk && (newcomer.hall === undefined || newcomer.hall === known.hall)) {
		return undefined;
	}
	if (isSameDisk) {
		return withMember(members, { ...known, hall: newcomer.hall });
	}
	const changed = withMember(members, { ...newcomer, role: MemberRole.Learner });
	const wasVoter = known?.role === MemberRole.Voter;
	const majority = Math.floor(targetVoterCount(changed) / 2) + 1;
	if (wasVoter && known.incarnation === incarnation) {
		return withMember(members, { ...known, address });
	}
	if (wasVoter && votersOf(changed).length < majority) {
		return undefined;
	}
	return changed;
}

/** The list in which a learner has become a voter. */
export function promote(members: readonly Member[], id: MemberId): Member[] {
	const learner = members.find(member => member.id === id);
	return learner ? withMember(members, { ...learner, role: MemberRole.Voter }) : [...members];
}

/**
 * How many members should vote: all of an odd number, all but one of an even one. An even number of votes costs one more
 * of them and bears no further loss, and cut into halves it has no majority on either side.
 */
export function targetVoterCount(members: readonly Member[]): number {
	return members.length % 2 === 1 ? members.length : members.length - 1;
}

/**
 * A member that has a successor: a later one of its data hall that is whole, while it is silent itself.
 * @param isSilent whether the leader has not heard from a member for long
 * @param isWhole whether a member holds everything committed
 * @returns the member to remove, only if the remaining voters that are heard still make a quorum
 */
export function findReplaced(
	members: readonly Member[],
	isSilent: (member: Member) => boolean,
	isWhole: (member: Member) => boolean
): Member | undefined {
	const replaced = members.find(member => {
		const isSuccessor = (other: Member): boolean =>
			other.hall === member.hall && (other.admittedAt ?? 0) > (member.admittedAt ?? 0) && isWhole(other);
		return member.hall !== undefined && isSilent(member) && members.some(isSuccessor);
	});
	if (!replaced) {
		return undefined;
	}
	const rest = remove(members, replaced.id);
	const heard = votersOf(rest).filter(member => !isSilent(member)).length;
	return heard >= quorumSize(rest) ? replaced : undefined;
}

/** The list without a member. */
export function remove(members: readonly Member[], id: MemberId): Member[] {
	return members.filter(member => member.id !== id);
}
