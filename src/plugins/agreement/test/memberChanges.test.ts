/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Requests to join and removals that reach the leader late, twice or after their successors. */

import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { AgreementCore } from '../common/agreementCore.js';
import { DEFAULT_TIMING, EntryKind, MemberRole, ReplicaRole } from '../common/agreementTypes.js';

const VOTER = { id: 'a', incarnation: 'a-1', address: 'a' };
const ELECTED_AT = 10_000;

let leader: AgreementCore;

/** Syncs what the leader, which is the only voter, has appended, so that it is committed. */
function sync(): void {
	leader.onPersisted(leader.lastIndex, leader.term, ELECTED_AT);
}

function join(incarnation: string, memberList = leader.memberListVersion): void {
	leader.join({ id: 'b', incarnation, address: 'b' }, memberList, ELECTED_AT);
	sync();
}

function remove(admittedAt: number): boolean {
	const { done } = leader.removeMember('b', admittedAt, ELECTED_AT);
	sync();
	return done;
}

function member() {
	return leader.members.find(({ id }) => id === 'b');
}

beforeEach(() => {
	const members = [{ ...VOTER, role: MemberRole.Voter }];
	leader = new AgreementCore({
		identity: VOTER,
		timing: DEFAULT_TIMING,
		hardState: { term: 1 },
		log: { entries: [{ index: 1, term: 1, kind: EntryKind.Members, members }], commit: 1 },
		random: () => 0,
		now: 0
	});
	leader.tick(ELECTED_AT);
	sync();
	assert.equal(leader.role, ReplicaRole.Leader);
});

/** Guards against a request of an earlier incarnation that replaces the running one. */
test('a request to join that arrives after another incarnation was admitted has no effect', () => {
	const late = leader.memberListVersion;
	join('b-1');
	join('b-2');
	assert.equal(member()?.incarnation, 'b-2');
	join('b-1', late);
	assert.equal(member()?.incarnation, 'b-2');
});

/** Guards against a removed member that nobody can reach and that is admitted once more. */
test('a request to join that arrives a second time does not bring back a removed member', () => {
	const late = leader.memberListVersion;
	join('b-1', late);
	assert.equal(remove(member()!.admittedAt!), true);
	join('b-1', late);
	assert.equal(member(), undefined);
});

/** Guards against a removal that partitions hold up until the member has joined again. */
test('a removal that arrives late or twice does not remove a member that was admitted again', () => {
	join('b-1');
	const admittedAt = member()!.admittedAt!;
	assert.equal(remove(admittedAt), true);
	join('b-1');
	assert.equal(remove(admittedAt), false);
	assert.notEqual(member(), undefined);
});
