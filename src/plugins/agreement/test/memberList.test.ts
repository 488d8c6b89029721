/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Rules for replacing members, which the random schedules rarely reach. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Member, MemberRole } from '../common/agreementTypes.js';
import { admitLearner, promoteLearner, quorumValue } from '../common/memberList.js';

function createVoter(id: string): Member {
	return { id, incarnation: `${id}-1`, address: id, role: MemberRole.Voter };
}

function createReplica(id: string, incarnation: string): Omit<Member, 'role'> {
	return { id, incarnation, address: id };
}

const threeVoters = [createVoter('a'), createVoter('b'), createVoter('c')];

test('a member that lost its disk becomes a learner; a second one must wait until the first is a voter again', () => {
	const first = admitLearner(threeVoters, createReplica('b', 'b-2'))!;
	assert.deepEqual(
		first.map(member => member.role),
		[MemberRole.Voter, MemberRole.Learner, MemberRole.Voter]
	);
	assert.equal(admitLearner(first, createReplica('c', 'c-2')), undefined);
	assert.notEqual(admitLearner(promoteLearner(first, 'b'), createReplica('c', 'c-2')), undefined);
});

test('admitting an unchanged member changes nothing, and a learner does not count towards the quorum', () => {
	assert.equal(admitLearner(threeVoters, createReplica('a', 'a-1')), undefined);
	const joined = admitLearner(threeVoters, createReplica('d', 'd-1'))!;
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
