/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The rules for replacing members, which random schedules hardly reach. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Member, MemberRole } from '../common/agreementTypes.js';
import { admitLearner, promote, quorumValue } from '../common/memberList.js';

function voter(id: string): Member {
	return { id, incarnation: `${id}-1`, address: id, role: MemberRole.Voter };
}

function newcomer(id: string, incarnation: string): Omit<Member, 'role'> {
	return { id, incarnation, address: id };
}

const three = [voter('a'), voter('b'), voter('c')];

test('a member that lost its disk becomes a learner, and a second one only after the first votes again', () => {
	const first = admitLearner(three, newcomer('b', 'b-2'))!;
	assert.deepEqual(
		first.map(member => member.role),
		[MemberRole.Voter, MemberRole.Learner, MemberRole.Voter]
	);
	assert.equal(admitLearner(first, newcomer('c', 'c-2')), undefined);
	assert.notEqual(admitLearner(promote(first, 'b'), newcomer('c', 'c-2')), undefined);
});

test('a member that is known changes nothing, and a learner does not count in the quorum', () => {
	assert.equal(admitLearner(three, newcomer('a', 'a-1')), undefined);
	const joined = admitLearner(three, newcomer('d', 'd-1'))!;
	const reached = new Map([
		['a', 9],
		['b', 5],
		['c', 1],
		['d', 9]
	]);
	assert.equal(
		quorumValue(joined, member => reached.get(member.id)!),
		5
	);
});
