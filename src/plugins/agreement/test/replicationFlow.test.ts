/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How much a leader sends to a replica that rejects what it is sent, as one that restarts again and again does. */

import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { AgreementCore } from '../common/agreementCore.js';
import {
	type AgreementMessage,
	type AppendReply,
	type AppendRequest,
	DEFAULT_TIMING,
	type Effects,
	EntryKind,
	type LogEntry,
	MemberRole,
	type SnapshotRequest
} from '../common/agreementTypes.js';

const IDS = ['n1', 'n2', 'n3'];
const MEMBERS = IDS.map(id => ({ id, incarnation: id, address: id, role: MemberRole.Voter }));
const ROUND_TRIP_MS = 70;

let now: number;
let leader: AgreementCore;
let sent: AgreementMessage[];

function collect(effects: Effects | undefined): void {
	if (effects) {
		sent.push(...effects.earlyMessages, ...effects.messages);
		if (effects.records.length > 0) {
			collect(leader.onPersisted(leader.lastIndex, leader.term, now));
		}
	}
}

function headerFrom(id: string, term: number) {
	return { from: id, fromIncarnation: id, to: 'n1', toIncarnation: 'n1', term };
}

function reply(request: AppendRequest | SnapshotRequest, accepted: boolean, index: number): void {
	const header = headerFrom(request.to, request.term);
	const message: AppendReply = { ...header, type: 'appendReply', accepted, index, sentAt: request.sentAt };
	collect(leader.receive(message, now));
}

/** What was sent to a replica since the last call. */
function takeSentTo(id: string): (AppendRequest | SnapshotRequest)[] {
	const isRequest = (message: AgreementMessage): message is AppendRequest | SnapshotRequest =>
		message.to === id && (message.type === 'append' || message.type === 'snapshot');
	const taken = sent.filter(isRequest);
	sent = sent.filter(message => message.to !== id);
	return taken;
}

function entryCount(requests: readonly (AppendRequest | SnapshotRequest)[]): number {
	return requests.reduce((sum, request) => sum + (request.type === 'append' ? request.entries.length : 0), 0);
}

function lastIndexOf(request: AppendRequest | SnapshotRequest): number {
	return request.type === 'append' ? request.prevIndex + request.entries.length : request.snapshot.index;
}

/** Accepts everything that was sent to a replica. */
function acceptAll(id: string): void {
	for (let requests = takeSentTo(id); requests.length > 0; requests = takeSentTo(id)) {
		requests.forEach(request => reply(request, true, lastIndexOf(request)));
	}
}

function propose(count: number): void {
	for (let i = 0; i < count; i++) {
		collect(leader.propose([`command ${i}`], ++now)?.effects);
	}
}

beforeEach(() => {
	now = 0;
	sent = [];
	const entries: LogEntry[] = [{ index: 1, term: 1, kind: EntryKind.Members, members: MEMBERS }];
	leader = new AgreementCore({
		identity: { id: 'n1', incarnation: 'n1', address: 'n1' },
		timing: DEFAULT_TIMING,
		hardState: { term: 1 },
		log: { entries },
		random: () => 0,
		now
	});
	now = 2000;
	collect(leader.tick(now));
	collect(leader.receive({ ...headerFrom('n2', 2), type: 'voteReply', pre: true, granted: true }, now));
	collect(leader.receive({ ...headerFrom('n2', 2), type: 'voteReply', pre: false, granted: true }, now));
	acceptAll('n2');
	acceptAll('n3');
});

/** Guards against the whole rest of the log being sent once for each message that a replica rejects. */
test('a replica that rejects everything in flight is sent each entry that it lacks once', () => {
	const held = leader.lastIndex;
	propose(20);
	for (let i = 0; i < 40; i++) {
		now += DEFAULT_TIMING.heartbeatMs / 4;
		collect(leader.tick(now));
		acceptAll('n2');
	}
	const inFlight = takeSentTo('n3');
	now += ROUND_TRIP_MS;
	inFlight.forEach(request => reply(request, false, held));
	const sentAgain = takeSentTo('n3');
	sentAgain.forEach(request => reply(request, true, lastIndexOf(request)));
	sentAgain.push(...takeSentTo('n3'));
	assert.equal(entryCount(sentAgain), leader.lastIndex - held);
});

test('a replica that rejects again and again is sent one batch a round trip', () => {
	propose(60);
	acceptAll('n2');
	takeSentTo('n3').forEach(request => reply(request, false, 2));
	for (let i = 0; i < 20; i++) {
		now += ROUND_TRIP_MS;
		collect(leader.tick(now));
		acceptAll('n2');
		const requests = takeSentTo('n3');
		assert.ok(requests.filter(request => entryCount([request]) > 0).length <= 1);
		requests.forEach(request => reply(request, false, 2));
	}
});

/** Guards against a snapshot for each start of a replica, although the one before has not been answered. */
test('a snapshot that was not answered yet is not sent again because an earlier message is accepted', () => {
	propose(20);
	acceptAll('n2');
	const inFlight = takeSentTo('n3');
	leader.compact(leader.commitIndex, new Uint8Array(1));
	now += ROUND_TRIP_MS;
	let snapshots = 0;
	for (const request of inFlight) {
		reply(request, false, 0);
		reply(inFlight[0]!, true, 2);
		snapshots += takeSentTo('n3').filter(({ type }) => type === 'snapshot').length;
	}
	assert.equal(snapshots, 1);
});

test('a replica that receives a snapshot still gets heartbeats', () => {
	propose(20);
	acceptAll('n2');
	const inFlight = takeSentTo('n3');
	leader.compact(leader.commitIndex, new Uint8Array(1));
	inFlight.forEach(request => reply(request, false, 0));
	takeSentTo('n3');
	now += DEFAULT_TIMING.heartbeatMs;
	collect(leader.tick(now));
	assert.equal(takeSentTo('n3').filter(({ type }) => type === 'append').length, 1);
});

test('a replica that does not respond is not sent more than a bounded number of entries', () => {
	for (let i = 0; i < 50; i++) {
		propose(60);
		acceptAll('n2');
	}
	assert.ok(entryCount(takeSentTo('n3')) <= 1024);
});

test('a message to a replica that lacks large entries is bounded in bytes', () => {
	const largeText = 'x'.repeat(300_000);
	for (let i = 0; i < 20; i++) {
		collect(leader.propose([largeText], ++now)?.effects);
		acceptAll('n2');
	}
	takeSentTo('n3').forEach(request => reply(request, false, 2));
	const [request] = takeSentTo('n3');
	assert.equal(request?.type === 'append' && request.entries.length, 3);
});

test('a replica that lacks many entries gets all of them', () => {
	for (let i = 0; i < 50; i++) {
		propose(60);
		acceptAll('n2');
	}
	takeSentTo('n3').forEach(request => reply(request, false, 2));
	let held = 2;
	for (let i = 0; i < 100 && held < leader.lastIndex; i++) {
		now += ROUND_TRIP_MS;
		collect(leader.tick(now));
		acceptAll('n2');
		for (const request of takeSentTo('n3')) {
			const isMatching = request.type === 'append' && request.prevIndex <= held;
			held = isMatching ? Math.max(held, lastIndexOf(request)) : held;
			reply(request, isMatching, isMatching ? lastIndexOf(request) : held);
		}
	}
	assert.equal(held, leader.lastIndex);
});

/** Guards against an endless exchange of entries and rejections with a replica whose log is shorter than it said. */
test('a replica that has lost entries that it acknowledged gets them again', () => {
	propose(20);
	acceptAll('n2');
	acceptAll('n3');
	let held = leader.lastIndex - 10;
	propose(1);
	for (let i = 0; i < 10 && held < leader.lastIndex; i++) {
		for (const request of takeSentTo('n3')) {
			const isMatching = request.type === 'append' && request.prevIndex <= held;
			held = isMatching ? Math.max(held, lastIndexOf(request)) : held;
			reply(request, isMatching, isMatching ? lastIndexOf(request) : held);
		}
		now += ROUND_TRIP_MS;
		collect(leader.tick(now));
		acceptAll('n2');
	}
	assert.equal(held, leader.lastIndex);
});

test('a replica that has compacted what it is sent is sent what follows its snapshot', () => {
	propose(20);
	acceptAll('n2');
	takeSentTo('n3').forEach(request => reply(request, false, 2));
	const compactedUpTo = leader.commitIndex - 5;
	takeSentTo('n3').forEach(request => reply(request, false, compactedUpTo));
	const [request] = takeSentTo('n3');
	assert.equal(request?.type === 'append' && request.prevIndex, compactedUpTo);
});
